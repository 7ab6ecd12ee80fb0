#!/bin/bash
# full_disks_test.sh - the disks of five control processes are full for a few seconds each, in turn
# Guards against: long after the last disk has room again, changes are refused or stay unanswered.
set -u
cd "$(dirname "$0")/.." || exit 1
API=${API:-26470}
PEER=${PEER:-26471}
# A proper change is acknowledged within this time in calm.
ACK_MAX_MS=4000
FULL_S=3
bin=$PWD/build/test/programs/faulty
dir=$(mktemp -d)
declare -A pid
. test/wait_lib.sh
. test/join_lib.sh

now_ms() { date +%s%3N; }

# change I... - sends the next set to the processes in turn until one acknowledges it; prints how long it took
change() {
	local begin i
	begin=$(now_ms)
	while (($(now_ms) < begin + 20000)); do
		for i in "$@"; do
			put_succeeds "$i" "$version" $((version + 1)) "p$version" && echo $(($(now_ms) - begin)) && return 0
		done
		sleep 0.1
	done
	return 1
}

for i in 1 2 3 4 5; do
	export FAULTS=$dir/faults$i
	echo "ok 0" >"$FAULTS"
	start_control "$i" true 127.0.0.1:1,127.0.0.2:1,127.0.0.3:1
done
wait_for "five voters" has_voters 1 5
version=0
change 1 2 3 4 5 >/dev/null || fail "the first set"
version=1

# Two rounds; the leader of the moment is in each of them, and changes go on meanwhile.
for round in 1 2; do
	for i in 1 2 3 4 5; do
		[ "$round" = 1 ] || { wait_for "a leader" find_leader && i=$leader; }
		set_disk "$i" full
		begin=$(now_ms)
		others=$(echo 1 2 3 4 5 | tr -d "$i")
		# shellcheck disable=SC2086
		took=$(change $others) || fail "round $round: no change while the disk of $i was full"
		version=$((version + 1))
		while (($(now_ms) < begin + FULL_S * 1000)); do sleep 0.1; done
		set_disk "$i" ok
		wait_for "process $i to go on" put_succeeds "$i" "$version" $((version + 1)) "p$version"
		version=$((version + 1))
	done
done

sleep 2
for i in 1 2 3 4 5; do
	took=$(change "$i") || fail "calm: no change at process $i"
	((${took:-0} <= ACK_MAX_MS)) || fail "calm: a change at process $i took $took ms"
	version=$((version + 1))
	kill -0 "${pid[$i]}" || fail "process $i has ended"
done
for i in 1 2 3 4 5; do
	wait_for "the newest set at $i" is_set "$i" "$version" "p$((version - 1))"
done
wait_for "five voters at the end" has_voters 1 5
[ "$(grep -l "disk full" "$dir"/*.log | wc -l)" = 5 ] || fail "not every disk was full"
echo "full_disks_test: $failures failures"
[ "$failures" = 0 ]
