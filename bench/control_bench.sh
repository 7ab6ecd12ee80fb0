#!/bin/bash
# control_bench.sh - measures a group of three control processes; prints tables
# Uses ports from BASE (default 21000). Run "make tests" first. Needs curl.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-21000}
dir=$(mktemp -d)
declare -A pid
stop_all() {
	for name in "${!pid[@]}"; do kill -KILL "${pid[$name]}" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap stop_all EXIT
now_ms() { date +%s%3N; }
start() {
	./lavenderlead serve -c "$dir/$1.ini" >>"$dir/$1.log" 2>&1 &
	pid[$1]=$!
}
leader() { curl -s -m 1 "http://127.0.0.1:$((BASE + 10 * $1))/v1/status" | grep -o '"leader":{"id":[0-9]*' | cut -d: -f3; }
body() { echo "{\"name\":\"$1\",\"hosts\":[\"$1.example\"],\"ranks\":[{\"name\":\"page\",\"match\":[{\"path\":\"/\"}],\"target_ms\":$2,\"worth\":10,\"floor_percent\":10}]}"; }
put() { curl -s -m 8 -o /dev/null -w '%{http_code}' -X PUT --data "$(body "$2" "$3")" "http://127.0.0.1:$((BASE + 10 * $1))/v1/services/$2"; }
relay() {
	exec 9<>"/dev/tcp/127.0.0.1/$((BASE + 500))" || return 1
	echo "$*" >&9
	read -r _ <&9
	exec 9>&-
}
ticks() { awk '{print $14 + $15}' "/proc/${pid[control$1]}/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/${pid[control$1]}/status"; }
wait_leader() { until [ -n "$(leader "$1")" ]; do sleep 0.02; done; }
# until_accepted CONTROL NAME - waits until a change is accepted by that process
until_accepted() { until [ "$(put "$1" "$2" 100 | cut -c1-2)" = 20 ]; do sleep 0.02; done; }

DATA=$dir/data tools/mesh-settings "$dir" breizh "$BASE" breizh-rennes breizh-brest breizh-vannes 1
routes=
for i in 1 2 3; do
	p=$((BASE + 10 * i + 1))
	routes="$routes $((p + 500)):$p"
	sed -i "s/^peer_port=$p$/peer_port=$((p + 500))/" "$dir/control$i.ini"
	echo "peer_listen=127.0.0.1:$p" >>"$dir/control$i.ini"
	sed -i "/^members=/s/127.0.0.1:$p/127.0.0.1:$((p + 500))/" "$dir"/control*.ini
done
# shellcheck disable=SC2086
build/test/programs/partition $((BASE + 500)) $routes 2>/dev/null &
pid[relay]=$!
sleep 0.3
for i in 1 2 3; do start control$i; done
wait_leader 1
until_accepted 1 first
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) processors"

echo "== nodes: frames and bytes per second per node (without PING/PONG), and CPU time"
echo "nodes phase in/s out/s B_in/s B_out/s node_cpu_us/s control_cpu_ms/s(1,2,3) rss_KB(1,2,3) in_force_ms(max)"
for n in ${NODES:-10 30 100}; do
	for phase in idle changes; do
		build/bench/control_bench "$n" 10 $((BASE + 11)) $((BASE + 21)) $((BASE + 31)) >"$dir/out" &
		bench=$!
		until grep -q counting "$dir/out"; do sleep 0.05; done
		t1=$(ticks 1) t2=$(ticks 2) t3=$(ticks 3)
		worst_ms=-
		if [ $phase = changes ]; then
			worst_ms=0
			for k in $(seq 20); do
				rev=$(curl -s -X PUT --data "$(body many $((100 + k)))" "http://127.0.0.1:$((BASE + 10))/v1/services/many" | grep -o '"revision":[0-9]*' | head -1 | cut -d: -f2)
				at=$(now_ms)
				sleep 0.3
				done_us=$(sed -n "s/^revision $rev //p" "$dir/out")
				[ -n "$done_us" ] || { worst_ms=late; continue; }
				took_ms=$((done_us / 1000 - at))
				[ "$worst_ms" != late ] && [ "$took_ms" -gt "$worst_ms" ] && worst_ms=$took_ms
			done
		fi
		wait "$bench"
		awk -v n="$n" -v ph=$phase -v c1=$(($(ticks 1) - t1)) -v c2=$(($(ticks 2) - t2)) -v c3=$(($(ticks 3) - t3)) \
			-v r="$(rss 1),$(rss 2),$(rss 3)" -v w="$worst_ms" \
			'/^nodes/ {printf "%d %s %.2f %.2f %.0f %.0f %.0f %.1f,%.1f,%.1f %s %s lost=%d\n", n, ph, $6/n/10, $10/n/10, $8/n/10, $12/n/10, $14/n/10, c1, c2, c3, r, w, $16}' "$dir/out"
		sleep 1
	done
done

echo "== changes with fsync: one client, then eight"
for clients in 1 8; do
	leader=$(leader 1)
	for c in $(seq $clients); do
		for k in $(seq 200); do
			printf 'url = "http://127.0.0.1:%d/v1/services/load%d"\nrequest = PUT\ndata = "%s"\noutput = /dev/null\nwrite-out = "%%{http_code}\\n"\nnext\n' \
				$((BASE + 10 * leader)) "$c" "$(body "load$c" $((100 + k)) | sed 's/"/\\"/g')"
		done | sed '$d' >"$dir/load$c"
	done
	t=$(now_ms)
	pids=()
	for c in $(seq $clients); do
		curl -s -K "$dir/load$c" >"$dir/codes$c" &
		pids+=($!)
	done
	wait "${pids[@]}"
	t=$(($(now_ms) - t))
	echo "$clients clients: $(cat "$dir"/codes* | grep -c '^20') accepted in $t ms"
	rm -f "$dir"/codes*
done

echo "== time from the fault to the next change accepted by another process, ms"
for k in $(seq "${ROUNDS:-5}"); do
	leader=$(leader 1)
	other=$((leader % 3 + 1))
	t=$(now_ms)
	kill -KILL "${pid[control$leader]}"
	until_accepted $other kill
	echo "kill $(($(now_ms) - t))"
	wait "${pid[control$leader]}" 2>/dev/null
	start control"$leader"
	sleep 3
done
for k in $(seq "${ROUNDS:-5}"); do
	leader=$(leader 1)
	other=$((leader % 3 + 1))
	t=$(now_ms)
	relay cut $((BASE + 10 * leader + 1)) "*"
	relay cut "*" $((BASE + 10 * leader + 1))
	until_accepted $other cut
	echo "cut $(($(now_ms) - t))"
	relay heal
	sleep 4
done
