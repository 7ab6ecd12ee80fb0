#!/bin/bash
# join_test.sh - a control group forms from its seeds and repairs itself after new members, a wiped
# disk and a lost VM. Each process has its own loopback address, as a VM has.
set -u
cd "$(dirname "$0")/.." || exit 1
API=${API:-26410}
PEER=${PEER:-26411}
bin=$PWD/lavenderlead
dir=$(mktemp -d)
declare -A pid
. test/wait_lib.sh

. test/join_lib.sh

seeds=127.0.0.1:1,127.0.0.2:1,127.0.0.3:1
# Three voters can't tolerate the two losses in the settings: no change is accepted.
for i in 1 2 3; do start_control $i true $seeds; done
wait_for "group of the seeds" has_voters 1 3
[ "$(put 1 0 1 early)" = 503 ] || fail "a change was accepted by three voters: $(cat "$dir/answer")"
for i in 4 5; do start_control $i true $seeds; done
wait_for "five voters" has_voters 1 5

# Only one set is accepted on each base version; sending it again gets the same answer from any
# process; the set is read back as it was sent.
wait_for "the first set" put_succeeds 4 0 3 one
[ "$(put 2 0 3 one)" = 200 ] || fail "the same set sent again: $(cat "$dir/answer")"
[ "$(put 3 0 4 other)" = 412 ] || fail "another set on the same base: $(cat "$dir/answer")"
[ "$(put 3 3 3 same)" = 400 ] || fail "a version that is not above its base: $(cat "$dir/answer")"
[ "$(put 5 3 9 two)" = 200 ] || fail "the second set: $(cat "$dir/answer")"
[ "$(put 1 0 3 one)" = 200 ] || fail "an older accepted set sent again: $(cat "$dir/answer")"
wait_for "the set to be read back" is_set 2 9 two

# A wiped disk: the process rejoins by itself.
end 2
rm -rf "$dir/data2"
start_control 2 false $seeds
wait_for "the wiped process to be a voter" is_voter 1 2
wait_for "five voters again" has_voters 1 5

# A VM that is lost for good, and a new one with other seeds.
end 5
start_control 6 false 127.0.0.4:1,127.0.0.3:1
wait_for "the new process to be a voter" is_voter 1 6
wait_for "the lost process to be removed" is_gone 1 5
wait_for "five voters including the new process" has_voters 6 5
[ "$(put 6 9 12 three)" = 200 ] || fail "a set after the repair: $(cat "$dir/answer")"

# Two more losses: acknowledged changes are kept and new ones are accepted.
end 1
end 2
wait_for "a set with three remaining voters" put_succeeds 6 12 14 four
wait_for "the newest set" is_set 4 14 four
# Without a quorum reads and changes are refused.
end 3
[ "$(put 4 14 16 five)" = 503 ] || fail "a change without a quorum: $(cat "$dir/answer")"
[ "$(curl -s -m 10 -o "$dir/answer" -w '%{http_code}' "http://127.0.0.4:$API/v1/set")" = 503 ] || fail "a read without a quorum"
echo "join_test: $failures failures"
[ "$failures" = 0 ]
