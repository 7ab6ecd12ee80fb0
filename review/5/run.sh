#!/bin/bash
# A target deregisters and goes on serving for a while; its node, which acknowledged that, is killed and
# started again; a heartbeat that the target sent before arrives late. TROUBLE=0: the node is not killed.
. "$(dirname "$0")/../lib.sh"
drain_ms=2000 contact_ms=3000
serves_ms=5200 # after the acknowledgement: DrainS "and a little longer (at times many seconds)"
late_ms=2700 # the heartbeat arrives this long after it was sent

clients() { # clients N KIND METHOD PATH UNTIL - one request after the other at node N
	local k=0
	while (($(now) < $5)); do
		call $1 $3 $4 $2-$1-$((++k)) >/dev/null
		sleep 0.03
	done
}

begin
all=$(seeds 1 2 3)
for n in 1 2 3 4 5; do start_control $n true "$all"; done
for n in 11 12 13 14; do
	service=alpha
	((n > 12)) && service=beta
	start_node $n $service "$all"
	start_target $n $service i-$n 150
done
first_set() {
	[ "$(put_set 1 1 0 "$(route r1 /read/ always alpha),$(route r2 /write/ never alpha)" "alpha beta")" = 200 ]
}
wait_until 15 first_set || cannot_run "the first configuration was not acknowledged"
for n in 11 12 13 14; do wait_until 10 is_ready $n || cannot_run "node $n is not ready"; done
sleep 3
both_are_used() { # eight requests at once, so that they spread
	local n jobs=()
	for n in 13 14 13 14 13 14 13 14; do
		call $n GET /read/x before-$n-$((++k)) >/dev/null &
		jobs+=($!)
	done
	wait "${jobs[@]}"
	grep -q "run alpha i-11" "$dir/runs.11" && grep -q "run alpha i-12" "$dir/runs.12"
}
wait_until 15 both_are_used || cannot_run "not both targets were used"

born=$(sed -n 's/.* born alpha i-11 //p' "$dir/runs.11")
sequence=$(grep -c ' beat ' "$dir/runs.11")
sent=$(now) # a heartbeat of the target, on its way from now on
kill -USR1 "${pid[target11]}"
wait_until 5 grep -q "leave 200" "$dir/runs.11" || cannot_run "the target got no acknowledgement"
ack=$(sed -n 's/ leave 200//p' "$dir/runs.11" | head -1)
echo "$ack acknowledged to target i-11 that it is gone" >>"$record"
for k in 1 2 3; do
	clients 13 read$k GET /read/x $((ack + serves_ms + 1000)) &
	clients 14 write$k POST /write/x $((ack + serves_ms + 1000)) &
done
sleep 0.2
back=0
if [ "$trouble" = 1 ]; then
	end node11 KILL
	sleep 0.5
	start_node 11 alpha "$all"
	back=$(now)
	say "node 11 was killed and is started again"
fi
while (($(now) < sent + late_ms)); do sleep 0.02; done
status=$(printf '{"service":"alpha","address":"%s:%s","zone":"z1","version":"v1","slots":8,"state":"up","cold_ms":0,"sequence":%s,"born":%s}' \
	$net.11 $app $((sequence + 1)) "$born" |
	"$standin" http $net.11 $register 1000 PUT /v1/instances/i-11 "Content-Type: application/json" | head -1)
say "the heartbeat of target i-11 that was sent at $sent arrives: $status"
while (($(now) < ack + serves_ms)); do sleep 0.02; done
end target11 KILL
say "target i-11 has ended, as it said"
sleep 1.5
cat "$dir/runs.11" >>"$record"
# Counted: runs later than DrainS after the acknowledgement; with the node's restart only those from
# ContactWindowS after it on, when all machines are in touch.
from=$((ack + drain_ms))
((back)) && ((back + contact_ms + 200 > from)) && from=$((back + contact_ms + 200))
late=$(awk -v from=$from '$2 == "run" && $1 > from' "$dir/runs.11" | wc -l)
say "runs at target i-11 later than DrainS after the acknowledgement, all machines in touch: $late"
say "requests of clients that ended with 502: $(grep -c ': 502' "$record")"
if ((late == 0)); then
	say "held"
	exit 0
fi
say "BROKEN: DRAIN"
exit 1
