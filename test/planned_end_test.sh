#!/bin/bash
# planned_end_test.sh - a control process is replaced as planned: the new one first, then SIGTERM
# Guards against: its vote ends with it, and two emptied disks just after it has ended end the group
# with what was acknowledged.
set -u
cd "$(dirname "$0")/.." || exit 1
API=${API:-26530}
PEER=${PEER:-26531}
bin=$PWD/lavenderlead
dir=$(mktemp -d)
declare -A pid
. test/wait_lib.sh
. test/join_lib.sh

# replace WHICH - the process that ends is the leader, or another; then two disks are lost
replace() {
	local which=$1 seeds=127.0.0.1:1,127.0.0.2:1,127.0.0.3:1 i old first second
	live="1 2 3 4 5"
	for i in $live; do start_control "$i" true $seeds; done
	wait_for "five voters" any has_voters 5
	wait_for "the first set" any put_succeeds 0 1 one
	wait_for "a leader" find_leader
	start_control 6 false $seeds
	wait_for "the new process to be a learner" any is_learner 6
	wait_for "the second set" any put_succeeds 1 2 two
	wait_for "the new process to hold it" is_set 6 2 two

	old=$leader
	[ "$which" = leader ] || old=$((leader % 5 + 1))
	kill -TERM "${pid[$old]}"
	wait "${pid[$old]}"
	unset "pid[$old]"
	live=$(printf '%s\n' 1 2 3 4 5 6 | grep -v "$old" | tr '\n' ' ')
	read -r first second _ <<<"$live"
	for i in $first $second; do
		end "$i"
		rm -rf "$dir/data$i"
	done
	for i in $first $second; do start_control "$i" false $seeds; done
	# Each read may take 5 s without a quorum.
	TRIES=6 wait_for "the acknowledged set, when the $which had ended and two disks were lost" \
		is_set 6 2 two
	TRIES=100 wait_for "five voters again" has_voters 6 5
	for i in $live; do end "$i"; done
	rm -rf "$dir"/data*
}

replace follower
replace leader
echo "planned_end_test: $failures failures"
[ "$failures" = 0 ]
