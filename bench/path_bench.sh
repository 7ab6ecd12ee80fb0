#!/bin/bash
# path_bench - measures the latency that each path adds to a call, and the cost of a node
# Real processes on loopback: 3 control processes, 3 nodes, one stand-in upstream at node 2.
# Paths: direct; through the upstream's own node (2); through another node (1; one peer hop).
# BASE is the first port, ROUNDS the number of calls per path and block over all connections.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/mesh.sh
rounds=${ROUNDS:-5000}
mesh_begin "${BASE:-26000}" 3

cpu_ms() { # the CPU time of process $1
	local f
	f=$(sed 's/.*) //' "/proc/$1/stat")
	set -- $f
	echo $(((${12} + ${13}) * 1000 / $(getconf CLK_TCK)))
}
rss_kb() { sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$1/status"; }
threads() { sed -n 's/^Threads:[^0-9]*//p' "/proc/$1/status"; }
has_answer() { curl -s -m 5 -o "$dir/answer" -w '%{http_code}' -H 'Host: sightings' \
	"http://127.0.0.1:$(caller_port "$1")/species/x" | grep -q 200; }

for i in 1 2 3; do start_control $i; done
for j in 1 2 3; do start_node $j; done
start_upstream 2 sightings -d 0
# A second upstream serves the direct path: node 2's connections occupy the server threads of its
# own upstream.
run direct $programs/upstream -p $((base + 503)) -n $((base + 999)) -s sightings -d 0
wait_for "a leader" has_leader || exit 1
wait_for "an upstream" has_upstreams 1 || exit 1
./lavenderlead apply -f examples/breizh/services/sightings.json --control "$control" || exit 1
for j in 1 2; do wait_for "an answer from node $j" has_answer $j || exit 1; done

echo "idle: CPU time of a node in 5 s, memory, threads"
before=$(cpu_ms "${pid[node3]}")
sleep 5
echo "node3 cpu_ms $(($(cpu_ms "${pid[node3]}") - before)) rss_kb $(rss_kb "${pid[node3]}")" \
	"threads $(threads "${pid[node3]}")"
# The blocks of the paths alternate, so that a disturbance on the machine affects all equally.
for connections in 1 8; do
	n=$((rounds / connections))
	for block in 1 2 3; do
		for path in direct:$((base + 503)) own-node:"$(caller_port 2)" other-node:"$(caller_port 1)"; do
			entry=$(cpu_ms "${pid[node1]}")
			home=$(cpu_ms "${pid[node2]}")
			echo "block $block, ${path%%:*}: $(timeout 20 build/bench/path_load -n $n \
				-c $connections -H sightings "${path##*:}" | tr '\n' ' ')" \
				"node1 cpu_ms $(($(cpu_ms "${pid[node1]}") - entry))" \
				"node2 cpu_ms $(($(cpu_ms "${pid[node2]}") - home))"
		done
	done
done
echo "after: node1 rss_kb $(rss_kb "${pid[node1]}"), node2 rss_kb $(rss_kb "${pid[node2]}")"
