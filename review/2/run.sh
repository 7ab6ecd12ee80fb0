#!/bin/bash
# The case of day.toml without the bench: two core machines are lost for good at once, and empty ones come
# at other addresses 1 s later. The seeds in the settings are brought up to date, the configuration changes,
# and each node is asked which one it has. TROUBLE=0: no core machine is lost.
. "$(dirname "$0")/../lib.sh"
nodes="12 15 18 21 24 27 30" # all in one zone, that of control 3

first_set() {
	[ "$(put_set 2 1 0 "$(route r1 /a/ always alpha),$(route r2 /c/ always alpha)" "alpha beta")" = 200 ]
}
second_set() {
	local n
	for n in 2 4 5 6 7; do
		[ "$(put_set $n 2 1 "$(route r1 /a/ always beta),$(route r2 /c/ always alpha)" "alpha beta")" = 200 ] && return 0
	done
	return 1
}

begin
all=$(seeds 1 2 3)
for n in 1 2 3 4 5; do start_control $n true "$all"; done
for n in $nodes; do
	service=alpha
	((n > 18)) && service=beta
	start_node $n $service "$all"
	start_target $n $service i-$n 20
done
wait_until 15 first_set || cannot_run "the first configuration was not acknowledged"
for n in $nodes; do wait_until 10 is_ready $n || cannot_run "node $n is not ready"; done
sleep 5
for n in $nodes; do
	[[ $(call $n GET /a/x before-$n) = "200 alpha"* ]] || cannot_run "node $n does not serve"
done

if [ "$trouble" = 1 ]; then
	kill -KILL "${pid[control3]}" "${pid[control1]}"
	say "control 3 and control 1 are gone for good"
	wait "${pid[control3]}" "${pid[control1]}" 2>/dev/null
	for n in 3 1; do run silent$n "$standin" silent $net.$n $peer $api; done
	sleep 1
	start_control 6 false "$(seeds 2 4 5)" # in the zone of control 3
	start_control 7 false "$(seeds 2 4 5)"
	say "control 6 and control 7 start, empty, at other addresses"
	sleep 3
	for n in $nodes; do
		sed -i "s/^seeds=.*/seeds=$(seeds 2 4 6)/" "$dir/node$n.ini"
		kill -HUP "${pid[node$n]}"
	done
	say "the settings of all nodes name live seeds (SIGHUP)"
fi
# Twice ContactWindowS and more after the last event.
sleep 14
wait_until 10 second_set || cannot_run "the change was not acknowledged"
acked=$(now)
say "configuration 2 is acknowledged: /a/ goes to beta now"
# ConfigPropagationS is 2; an unstable core may add MaxStretchS, 5.
while (($(now) < acked + 7500)); do sleep 0.1; done
old=
for k in 1 2 3; do
	for n in $nodes; do
		[[ $(call $n GET /a/x after-$n-$k) = "200 alpha"* ]] && old="$old $n"
	done
done
for n in $nodes; do
	is_ready $n && say "node $n says that it is ready"
	grep -h '"control l' "$dir/node$n.log" | tail -2 >>"$record"
done
if [ -z "$old" ]; then
	say "held"
	exit 0
fi
say "BROKEN: CONFIG: handled by the old service 7.5 s and more after the acknowledgement, at nodes:$old"
exit 1
