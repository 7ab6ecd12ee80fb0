#!/bin/bash
# The case of day.toml without the bench: one core machine stands still for 5 s while another one is
# replaced as planned; later two of the five lose their disks and the others lose power.
# TROUBLE=0: no machine stands still; the rest is the same.
. "$(dirname "$0")/../lib.sh"

status_of() { "$standin" http $net.$1 $api 500 GET /v1/status </dev/null; }
is_leader() { status_of $1 | grep -q '"role":"leader"'; }
voters_at() { status_of $1 | sed 's/"nodes".*//' | grep -o '"voter":true' | wc -l; }
read_set() { # prints the version that control N returns
	local text
	text=$("$standin" http $net.$1 $api 1000 GET /v1/set </dev/null)
	say "read at control $1: status ${text%%$'\n'*}"
	[ "${text%%$'\n'*}" = 200 ] && sed -n 's/.*"version":\([0-9]*\).*/\1/p' <<<"$text"
}
put_any() { # put_any VERSION BASE N... - until one of them acknowledges
	local v=$1 b=$2 n
	shift 2
	for n in "$@" "$@"; do
		[ "$(put_set $n $v $b "$(route r1 /a/ always alpha)" alpha)" = 200 ] && acked_by=$n && return 0
	done
	return 1
}

begin
for n in 1 2 3 4 5; do start_control $n true "$(seeds 1 2 3)"; done
first() { put_any 1 0 1 2 3 4 5; }
wait_until 15 first || cannot_run "the first configuration was not acknowledged"
five() { [ "$(voters_at 1)" = 5 ]; }
wait_until 15 five || cannot_run "the group has not five voters"
sleep 2
leader=
for n in 1 2 3 4 5; do is_leader $n && leader=$n; done
[ -n "$leader" ] || cannot_run "no leader"
others=()
for n in 1 2 3 4 5; do [ $n != $leader ] && others+=($n); done
still=${others[0]} old=${others[1]}
live=($leader $still ${others[2]} ${others[3]} 6)

say "leader $leader; control $old is to be replaced by control 6"
begun=$(now)
if [ "$trouble" = 1 ]; then
	kill -STOP "${pid[control$still]}"
	say "control $still stands still"
fi
sleep 2.5
start_control 6 false "$(seeds $leader ${others[2]} ${others[3]})"
say "control 6 starts, empty, at another address"
while (($(now) < begun + 5000)); do sleep 0.02; done
if [ "$trouble" = 1 ]; then
	kill -CONT "${pid[control$still]}"
	say "control $still goes on"
fi
while (($(now) < begun + 6500)); do sleep 0.02; done
end control$old TERM
say "control $old has ended on SIGTERM, 4 s (CatchUpS) after control 6 started"
sleep 12
status_of $leader | sed 's/,"nodes".*//' >>"$record"
echo >>"$record"

put_any 2 1 "${live[@]}" || cannot_run "the change was not acknowledged"
for n in "${live[@]}"; do kill -KILL "${pid[control$n]}"; done
say "configuration 2 is acknowledged by control $acked_by; all core machines lose power"
for n in "${live[@]}"; do wait "${pid[control$n]}" 2>/dev/null; done
rm -rf "$dir/data6" "$dir/data${others[2]}"
say "control 6 and control ${others[2]} have lost their disks"
sleep 0.65
for n in "${live[@]}"; do start_control $n false "$(seeds $leader ${others[2]} ${others[3]})"; done
back=$(now)
say "all five are started again"
version=
while (($(now) < back + 20000)) && [ "$version" != 2 ]; do
	for n in "${live[@]}"; do version=$(read_set $n) && [ "$version" = 2 ] && break; done
	sleep 0.5
done
if [ "$version" = 2 ]; then
	say "held: version 2 was read back"
	exit 0
fi
say "BROKEN: CONFIG: version 2 was acknowledged; 20 s after all are back it does not come"
exit 1
