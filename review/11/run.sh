#!/bin/bash
# A zone is evacuated, taken back, and evacuated again. The first copy of the order that took it back
# waits at a control process that stands still; the operator has long had its acknowledgement from
# another one. Exits with 1 if requests reach the zone's target although it is evacuated.
ZONES="zone-a zone-b zone-c" SERVICES="svc svc svc"
. "$(dirname "$0")/../lib-3.sh"

freeze_s=4.0        # node_freeze on core, count 1: for_s = 4.0 in the site file
evacuation_ms=5000  # EvacuationS
stretch_ms=5000     # MaxStretchS, as the core is unstable for a while
frozen=5            # a control process that is not among the seeds

config() {
	printf '{"version":1,"routes":[{"name":"r","host":"shop.example","prefix":"/","repeat":"always",'
	printf '"timeout_ms":2000,"target_ms":300,"priority":0,"service":"svc","attempts":2}],'
	printf '"services":[{"name":"svc","health_path":"/health","connections":220}],'
	printf '"limits":{"head_bytes":16384,"body_bytes":67108864,"head_timeout_ms":3000,"idle_timeout_ms":15000}}'
}
# ran J FROM_MS TO_MS - requests that reached target J in that time
ran() { awk -v a="$2" -v b="$3" '$1 >= a && $1 < b' "$work/ran$1" | wc -l; }

begin
for j in 1 2 3; do start_target $j "i-$j" 20; done
config >"$work/config1.json"
put_config 0 "$work/config1.json"
wait_ready
pause 2
for j in 1 2 3; do start_clients $j shop.example /a/x 50 4 2000; done
for n in $(seq 100); do
	[ -s "$work/ran1" ] && [ -s "$work/ran2" ] && [ -s "$work/ran3" ] && break
	pause 0.2
done
for j in 1 2 3; do
	say "before the first order: target $j has run $(wc -l <"$work/ran$j") requests; clients of node $j: $(awk '{ n[$3]++ } END { for (s in n) printf "%s x %d ", s, n[s] }' "$work/sent$j")"
done
[ -s "$work/ran1" ] || could_not "the target of zone-a gets nothing at first"
pause 2

operator PUT /v1/evacuations/zone-a 1
[ "$status" = 200 ] || could_not "the first evacuation was not acknowledged"
pause 6

if [ "$TROUBLE" != 0 ]; then
	say "control $frozen stands still"
	kill -STOP "${pid[control$frozen]}"
	stopped=$(now)
	pause 0.2
fi
operator DELETE /v1/evacuations/zone-a $frozen
[ "$status" = 200 ] || could_not "the end of the evacuation was not acknowledged"
ended=$acked_ms
pause 0.5
operator PUT /v1/evacuations/zone-a 1
[ "$status" = 200 ] || could_not "the second evacuation was not acknowledged"
second=$acked_ms
say "the zone was taken back at $ended and is evacuated again since $second (acknowledged)"
if [ "$TROUBLE" != 0 ]; then
	left=$(awk -v f=$freeze_s -v s="$stopped" -v n="$(now)" 'BEGIN { l = f - (n - s) / 1000; print (l > 0 ? l : 0) }')
	pause "$left"
	kill -CONT "${pid[control$frozen]}"
	say "control $frozen runs again after $(($(now) - stopped)) ms"
fi
first=$((second + evacuation_ms + stretch_ms))
while [ "$(now)" -lt $((first + 8000)) ]; do pause 0.2; done
end=$(now)
say "requests that reached the targets from $first to $end: zone-a $(ran 1 $first "$end"), zone-b $(ran 2 $first "$end"), zone-c $(ran 3 $first "$end")"
for j in 1 2 3; do
	say "clients of node $j in that time: $(awk -v a=$first '$1 >= a { n[$3]++ } END { for (s in n) printf "%s x %d ", s, n[s] }' "$work/sent$j")"
done
awk -v a=$first '$1 >= a' "$work/ran1" | head -5 | while read -r ms id rest; do say "reached zone-a: request $id at $ms, $((ms - second)) ms after the acknowledgement"; done
[ "$(ran 2 $first "$end")" -gt 0 ] || could_not "the other zones served nothing"
if [ "$(ran 1 $first "$end")" -gt 0 ]; then
	say "EVAC broken"
	echo broken
	exit 1
fi
say "EVAC held"
echo held
