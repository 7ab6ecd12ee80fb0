#!/bin/bash
# surplus_voter_test.sh - a control process that stands still for a while beside a planned replacement
# Guards against: it comes back as a sixth voter of five, the replaced process stays a voter for ever, and
# two emptied disks then end the group with what was acknowledged.
set -u
cd "$(dirname "$0")/.." || exit 1
API=${API:-26460}
PEER=${PEER:-26461}
bin=$PWD/lavenderlead
dir=$(mktemp -d)
declare -A pid
. test/wait_lib.sh
. test/join_lib.sh

seeds=127.0.0.1:1,127.0.0.2:1,127.0.0.3:1
live="1 2 3 4 5"
for i in $live; do start_control "$i" true $seeds; done
wait_for "five voters" any has_voters 5
wait_for "the first set" any put_succeeds 0 1 one
wait_for "a leader" find_leader

others=$(echo "$live" | tr ' ' '\n' | grep -v "$leader")
read -r still old third fourth <<<"$(echo "$others" | tr '\n' ' ')"
kill -STOP "${pid[$still]}"
start_control 6 false "127.0.0.$leader:1,127.0.0.$third:1,127.0.0.$fourth:1"
wait_for "the new process to take the vote of the silent one" is_voter "$leader" 6
wait_for "the silent process to be removed" is_gone "$leader" "$still"
kill -CONT "${pid[$still]}"
wait_for "the removed process to be a learner again" is_learner "$leader" "$still"
# Time in which a member becomes a voter, several times over.
sleep 3
has_voters "$leader" 5 || fail "$(voters "$leader") voters beside a learner that came back"

kill -TERM "${pid[$old]}"
wait "${pid[$old]}"
unset "pid[$old]"
wait_for "the replaced process to be removed" is_gone "$leader" "$old"
wait_for "five voters without the replaced process" has_voters "$leader" 5

live="$leader $still $third $fourth 6"
wait_for "the second set" any put_succeeds 1 2 two
for i in $live; do end "$i"; done
rm -rf "$dir/data6" "$dir/data$fourth"
for i in $live; do start_control "$i" false "127.0.0.$leader:1,127.0.0.$still:1,127.0.0.$third:1"; done
# Each read may take 5 s without a quorum.
TRIES=20 wait_for "the acknowledged set after the loss of two disks" any is_set 2 two
echo "surplus_voter_test: $failures failures"
[ "$failures" = 0 ]
