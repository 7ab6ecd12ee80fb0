#!/bin/bash
# full_disk_stop_test.sh - a control process whose disk is full gets SIGTERM
# Guards against: it does not end before its disk has room, and is killed at the end of its grace.
set -u
cd "$(dirname "$0")/.." || exit 1
API=${API:-26490}
PEER=${PEER:-26491}
GRACE_S=4
bin=$PWD/build/test/programs/faulty
dir=$(mktemp -d)
declare -A pid
. test/wait_lib.sh
. test/join_lib.sh

is_full() { grep -q "disk full" "$dir/$1.log"; }
has_ended() { ! kill -0 "${pid[$1]}" 2>/dev/null; }

# stop I - the process ends within its grace, with a second for its start-up and the shell
stop() {
	local begin
	begin=$(date +%s%3N)
	kill -TERM "${pid[$1]}"
	wait_for "process $1 to end" has_ended "$1"
	(($(date +%s%3N) < begin + (GRACE_S + 1) * 1000)) || fail "process $1 took more than its grace to end"
	unset "pid[$1]"
}

for i in 1 2 3 4 5; do
	export FAULTS=$dir/faults$i
	echo "ok 0" >"$FAULTS"
	start_control "$i" true 127.0.0.1:1,127.0.0.2:1,127.0.0.3:1 "shutdown_grace_s=$GRACE_S"
done
wait_for "five voters" has_voters 1 5
wait_for "a first set" put_succeeds 1 0 1 first
wait_for "a leader" find_leader

# A follower, which has to write what the others acknowledge, and then the leader.
for i in 1 2 3 4 5; do [ "$i" = "$leader" ] || follower=$i; done
set_disk "$follower" full
wait_for "a second set" put_succeeds "$leader" 1 2 second
wait_for "process $follower to find its disk full" is_full "$follower"
stop "$follower"
set_disk "$leader" full
put "$leader" 2 3 third >/dev/null &
wait_for "process $leader to find its disk full" is_full "$leader"
stop "$leader"

old=$leader
wait_for "another leader" find_leader
wait_for "a third set" put_succeeds "$leader" 2 3 third
[ "$leader" != "$old" ] || fail "no other leader"
echo "full_disk_stop_test: $failures failures"
[ "$failures" = 0 ]
