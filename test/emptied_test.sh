#!/bin/bash
# emptied_test.sh [ROUNDS] - a change is acknowledged, all processes end at once, and two of five
# control processes come back with empty folders. Nodes that know nothing get the change, and no
# process ever answers from an older one.
set -u
cd "$(dirname "$0")/.." || exit 1
API=${API:-26420}
PEER=${PEER:-26421}
CALLER=${CALLER:-26422}
LOCAL=${LOCAL:-26430}
ROUNDS=${1:-5}
# From the end of the processes until all nodes have the configuration again.
RECOVERY_MAX_MS=15000
bin=$PWD/lavenderlead
dir=$(mktemp -d)
declare -A pid
. test/wait_lib.sh
. test/join_lib.sh
trap stop_all EXIT

controls="1 2 3 4 5"
nodes="11 12 13 14 15 16"
seeds=127.0.0.1:1,127.0.0.2:1,127.0.0.3:1

# start_node J - starts the node at 127.0.0.J
start_node() {
	cat >"$dir/$1.ini" <<END
[cluster]
name=breizh

[node]
address=127.0.0.$1
zone=z$(($1 % 3))
region=breizh
caller_port=$CALLER
peer_port=$PEER
local_port=$((LOCAL + $1))
seeds=$seeds
END
	"$bin" serve -c "$dir/$1.ini" >>"$dir/$1.log" 2>&1 &
	pid[$1]=$!
}

now_ms() { date +%s%3N; }

# answer J PATH - prints status and reason of a call to node J
answer() {
	curl -s -m 3 -o "$dir/body" -D - -H 'Host: h.example' "http://127.0.0.$1:$CALLER/$2/" |
		tr -d '\r' | sed -n '1s/^[^ ]* \([0-9]*\).*/\1/p; s/^Lavenderlead-Reason: //p' | tr '\n' ' '
}

# No node has an upstream, so a call on a declared route is refused with no-upstream.
has_route() { [ "$(answer "$1" "$2")" = "503 no-upstream " ]; }

# check_answer J PATH - PATH was acknowledged: any 404, and any other refusal than these, is wrong
check_answer() {
	local got
	got=$(answer "$1" "$2")
	case $got in
	"" | "503 no-config " | "503 config-not-current " | "503 no-upstream ") ;;
	*) fail "node $1 answers '$got' for a route that was acknowledged" ;;
	esac
	[ "$got" = "503 no-upstream " ]
}

# check_read I VERSION PATH - a read that succeeds gives this version
check_read() {
	local got
	got=$(curl -s -m 5 -w '\n%{http_code}' "http://127.0.0.$1:$API/v1/set")
	case ${got##*$'\n'} in
	200) [ "${got%$'\n'*}" = "$(set_json "$2" "$3")" ] || fail "control $1 reads an older set: $got" ;;
	5* | 000) return 1 ;;
	*) fail "a read at control $1: $got" ;;
	esac
}

# wait_all PATH VERSION - polls all processes until each has the change; prints the time
wait_all() {
	local from missing i
	from=$(now_ms)
	missing="$controls $nodes"
	while [ -n "$missing" ] && [ $(($(now_ms) - from)) -lt $((2 * RECOVERY_MAX_MS)) ]; do
		local left=
		for i in $missing; do
			if [ "$i" -lt 10 ]; then
				check_read "$i" "$2" "$1" || left="$left $i"
			else
				check_answer "$i" "$1" || left="$left $i"
			fi
		done
		missing=${left# }
	done
	[ -z "$missing" ] || fail "$missing do not get version $2"
	took_ms=$(($(now_ms) - from))
}

for i in $controls; do start_control "$i" true $seeds; done
wait_for "five voters" has_voters 1 5
wait_for "the first set" put_succeeds 1 0 1 v1
for j in $nodes; do start_node "$j"; done
for j in $nodes; do wait_for "node $j" has_route "$j" v1; done

longest_ms=0
for round in $(seq "$ROUNDS"); do
	version=$((round + 1))
	# The process that acknowledges loses its disk, and another one in turn.
	at=$((round % 5 + 1))
	other=$(((round + round / 5) % 4 + 1))
	[ "$other" -ge "$at" ] && other=$((other + 1))
	[ "$(put "$at" "$round" "$version" "v$version")" = 200 ] ||
		fail "version $version: $(cat "$dir/answer")"
	kill -KILL "${pid[@]}"
	wait 2>/dev/null
	rm -rf "$dir/data$at" "$dir/data$other"
	for i in $controls; do start_control "$i" false $seeds; done
	for j in $nodes; do start_node "$j"; done
	wait_all "v$version" "$version"
	echo "round $round: control $at and $other emptied, all have version $version after $took_ms ms"
	[ "$took_ms" -gt "$longest_ms" ] && longest_ms=$took_ms
	wait_for "five voters again" has_voters "$at" 5
done
[ "$longest_ms" -lt $RECOVERY_MAX_MS ] || fail "recovery took $longest_ms ms"
echo "emptied_test: $failures failures, longest recovery $longest_ms ms"
[ "$failures" = 0 ]
