#!/bin/bash
# join_test.sh - a control group that forms itself from seeds, and heals: newcomers, an emptied disk, a lost VM
# The processes have addresses of their own on loopback, as VMs do. Conditions are waited for.
set -u
cd "$(dirname "$0")/.." || exit 1
API=${API:-26410}
PEER=${PEER:-26411}
bin=$PWD/lavenderlead
dir=$(mktemp -d)
declare -A pid
. test/wait_lib.sh

# control I FOUND SEEDS - start the process at 127.0.0.I
control() {
	cat >"$dir/$1.ini" <<END
[cluster]
name=breizh

[control]
address=127.0.0.$1
zone=z$(($1 % 3))
region=breizh
data=$dir/data$1
api_listen=127.0.0.$1:$API
peer_port=$PEER
seeds=$3
found=$2
losses=2
END
	"$bin" serve -c "$dir/$1.ini" >>"$dir/$1.log" 2>&1 &
	pid[$1]=$!
}

# end I - kill the process; it loses nothing that was synced
end() {
	kill -KILL "${pid[$1]}"
	wait "${pid[$1]}" 2>/dev/null
	unset "pid[$1]"
}

status() { curl -s -m 2 "http://127.0.0.$1:$API/v1/status"; }
voters() { status "$1" | grep -o '"voter":true' | wc -l; }
has_voters() { [ "$(voters "$1")" = "$2" ]; }
is_voter() { status "$1" | grep -q "\"address\":\"127.0.0.$2:$PEER\",\"replica\":\"[0-9a-f]*\",\"voter\":true"; }
is_gone() { ! status "$1" | grep -q "\"address\":\"127.0.0.$2:$PEER\""; }
leader() { status "$1" | grep -o '"leader":{"id":[0-9]*' | grep -o '[0-9]*$'; }

set_json() {
	printf '{"version":%s,"routes":[{"name":"r","host":"h.example","prefix":"/%s/","repeat":"never","timeout_ms":1000,"attempts":1,"service":"a"}],"services":[{"name":"a"}]}' "$1" "$2"
}
# put I BASE VERSION PATH - the status of the answer
put() {
	set_json "$3" "$4" | curl -s -m 10 -o "$dir/answer" -w '%{http_code}' -X PUT -H "If-Match: $2" --data-binary @- \
		"http://127.0.0.$1:$API/v1/set"
}
is_put() { [ "$(put "$1" "$2" "$3" "$4")" = 200 ]; }
get() { curl -s -m 5 "http://127.0.0.$1:$API/v1/set"; }
is_set() { [ "$(get "$1")" = "$(set_json "$2" "$3")" ]; }

stop_all() {
	for i in "${!pid[@]}"; do
		kill -KILL "${pid[$i]}" 2>/dev/null
	done
	wait 2>/dev/null
	[ "$failures" = 0 ] || tail -n 20 "$dir"/*.log
	rm -rf "$dir"
}
trap stop_all EXIT

seeds=127.0.0.1:1,127.0.0.2:1,127.0.0.3:1
# Too few for the losses that must be borne: no change is accepted.
for i in 1 2 3; do control $i true $seeds; done
wait_for "group of the seeds" has_voters 1 3
[ "$(put 1 0 1 early)" = 503 ] || fail "a change was accepted by three voters: $(cat "$dir/answer")"
for i in 4 5; do control $i true $seeds; done
wait_for "five voters" has_voters 1 5

# One set on each base; the same again is the same answer, anywhere; what was sent is read back.
wait_for "the first set" is_put 4 0 3 one
[ "$(put 2 0 3 one)" = 200 ] || fail "the same set again: $(cat "$dir/answer")"
[ "$(put 3 0 4 other)" = 412 ] || fail "another set on the same base: $(cat "$dir/answer")"
[ "$(put 3 3 3 same)" = 400 ] || fail "a version that is not above: $(cat "$dir/answer")"
[ "$(put 5 3 9 two)" = 200 ] || fail "the second set: $(cat "$dir/answer")"
[ "$(put 1 0 3 one)" = 200 ] || fail "an old set that was accepted: $(cat "$dir/answer")"
wait_for "the set read back" is_set 2 9 two

# An emptied disk: the process joins again by itself.
end 2
rm -rf "$dir/data2"
control 2 false $seeds
wait_for "the emptied one to be a voter" is_voter 1 2
wait_for "five voters again" has_voters 1 5

# A VM that is gone for good, and a new one that knows other seeds.
end 5
control 6 false 127.0.0.4:1,127.0.0.3:1
wait_for "the new one to be a voter" is_voter 1 6
wait_for "the lost one to be left out" is_gone 1 5
wait_for "five voters with the new one" has_voters 6 5
[ "$(put 6 9 12 three)" = 200 ] || fail "a set after the repair: $(cat "$dir/answer")"

# Two more may be lost: what was acknowledged is there, and changes go on.
end 1
end 2
wait_for "a set with three voters left" is_put 6 12 14 four
wait_for "the newest set" is_set 4 14 four
# Without a quorum nothing is read or accepted.
end 3
[ "$(put 4 14 16 five)" = 503 ] || fail "a change without a quorum: $(cat "$dir/answer")"
[ "$(curl -s -m 10 -o "$dir/answer" -w '%{http_code}' "http://127.0.0.4:$API/v1/set")" = 503 ] || fail "a read without a quorum"
echo "join_test: $failures failures"
[ "$failures" = 0 ]
