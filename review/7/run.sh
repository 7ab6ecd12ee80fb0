#!/bin/bash
# A control machine is replaced as planned; two others lose their disks when the old one has ended.
# TROUBLE=0: no disk is lost. Exits with 1 if the rule is broken.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-2.sh"

CATCH_UP_S=4 DOWN_S=0.65
# write_set VERSION
write_set() {
	cat >"$dir/set" <<EOF
{"version":$1,"routes":[{"name":"r-1","host":"a.example","prefix":"/a/","repeat":"never","timeout_ms":$((1000 + $1)),"target_ms":300,"priority":1,"service":"svc","attempts":2}],"services":[{"name":"svc","health_path":"/health","connections":220}],"limits":{"head_bytes":16384,"body_bytes":67108864,"head_timeout_ms":3000,"idle_timeout_ms":15000}}
EOF
}
# members - the membership as control1 knows it
members() {
	call GET "$(control_ip "${1:-1}"):$API" /v1/status - 1000
	echo "$answer" | sed 's/"nodes":.*//' | grep -o '"id":[0-9]*,"address":"[0-9.]*:[0-9]*","replica":"[0-9a-f]*","voter":[a-z]*' | sed 's/"id":[0-9]*,"address":"\([0-9.]*\):[0-9]*","replica":"[0-9a-f]*","voter":/\1 voter /' | paste -sd'; '
}

for i in $(seq $CONTROLS); do write_control "$i" true; done
for i in $(seq $CONTROLS); do start_role "control$i"; done
pause 1
write_set 1
order "$dir/set" 0 20
say "version 1: $status"
[ "$status" = 200 ] || exit 2
pause 5
write_control 6 false
start_role control6
say "the successor, control6, is started at another address, with an empty disk"
pause 6
say "members: $(members)"
write_set 2
order "$dir/set" 1 5
say "version 2: $status"
[ "$status" = 200 ] || exit 2

old=${OLD:-5}
kill -TERM "${pid[control$old]}"
say "control$old, which is replaced, gets SIGTERM, more than CatchUpS ($CATCH_UP_S s) after its successor started"
wait "${pid[control$old]}"
unset "pid[control$old]"
say "control$old has ended"
sleep ${GAP_S:-0.5}
if [ "$TROUBLE" != 0 ]; then
	for i in 3 4; do kill -KILL "${pid[control$i]}"; done
	for i in 3 4; do
		wait "${pid[control$i]}"
		rm -rf "$dir/data$i"
	done
	say "control3 and control4 lose their disks"
	sleep $DOWN_S
	for i in 3 4; do write_control "$i" false && start_role "control$i"; done
	say "both are started again, with empty disks"
fi
end=$(($(now_ms) + 24000))
newest=0
while [ "$(now_ms)" -lt $end ]; do
	versions=
	for i in 1 2 3 4 6; do
		call GET "$(control_ip "$i"):$API" /v1/set - 1000
		[ "$status" = 200 ] && v=$(echo "$answer" | sed 's/.*"version":\([0-9]*\),"routes".*/\1/') || v=-
		versions="$versions $v"
		[ "$v" != - ] && [ "$(now_ms)" -gt $((end - 8000)) ] && [ "$v" -gt $newest ] && newest=$v
	done
	say "read at control1 to control4 and control6:$versions"
	pause 1
done
say "members: $(members)"
if [ $newest -lt 2 ]; then
	say "BROKEN: version 2 was acknowledged; in the last 8 s the newest one read is $newest"
	exit 1
fi
say "held"
exit 0
