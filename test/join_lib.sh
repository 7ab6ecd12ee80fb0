# join_lib - functions for tests of a control group that is founded by seeds
# Needs API and PEER (ports), bin, dir, the array pid, wait_lib, and for any() the list live. Each process has its own loopback
# address, as a VM has.
# shellcheck shell=bash disable=SC2154

# start_control I FOUND SEEDS [LINE] - starts the process at 127.0.0.I; LINE is one more setting
start_control() {
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
${4-}
END
	"$bin" serve -c "$dir/$1.ini" >>"$dir/$1.log" 2>&1 &
	pid[$1]=$!
}

# end I - kills the process; the data that it has synced survive
end() {
	kill -KILL "${pid[$1]}"
	wait "${pid[$1]}" 2>/dev/null
	unset "pid[$1]"
}

disk_changes() { grep -c "^faulty: disk" "$dir/$1.log"; }
has_new_disk() { [ "$(disk_changes "$1")" -gt "$2" ]; }
# set_disk I STATE - the disk of process I, which is test/programs/faulty, is full, failing or ok from now on
set_disk() {
	local before
	before=$(disk_changes "$1")
	echo "$2 0" >"$dir/faults$1"
	wait_for "process $1 to have a disk that is $2" has_new_disk "$1" "$before"
}

status() { curl -s -m 2 "http://127.0.0.$1:$API/v1/status"; }
voters() { status "$1" | grep -o '"voter":true' | wc -l; }
has_voters() { [ "$(voters "$1")" = "$2" ]; }
is_voter() { status "$1" | grep -q "\"address\":\"127.0.0.$2:$PEER\",\"replica\":\"[0-9a-f]*\",\"voter\":true"; }
is_learner() { status "$1" | grep -q "\"address\":\"127.0.0.$2:$PEER\",\"replica\":\"[0-9a-f]*\",\"voter\":false"; }
is_gone() { ! status "$1" | grep -q "\"address\":\"127.0.0.$2:$PEER\""; }
leader() { status "$1" | grep -o '"leader":{"id":[0-9]*' | grep -o '[0-9]*$'; }

is_leader() { status "$1" | grep -q '"role":"leader"'; }
# find_leader - sets leader to the process that leads, among those that were started and not ended
find_leader() {
	for leader in "${!pid[@]}"; do is_leader "$leader" && return 0; done
	return 1
}

# any COMMAND ARGUMENTS... - tries COMMAND at each process of live
any() {
	local i command=$1
	shift
	for i in $live; do "$command" "$i" "$@" && return 0; done
	return 1
}

set_json() {
	printf '{"version":%s,"routes":[{"name":"r","host":"h.example","prefix":"/%s/","repeat":"never","timeout_ms":1000,"attempts":1,"service":"a"}],"services":[{"name":"a"}]}' "$1" "$2"
}
# put I BASE VERSION PATH - prints the response status
put() {
	set_json "$3" "$4" | curl -s -m 10 -o "$dir/answer" -w '%{http_code}' -X PUT -H "If-Match: $2" --data-binary @- \
		"http://127.0.0.$1:$API/v1/set"
}
put_succeeds() { [ "$(put "$1" "$2" "$3" "$4")" = 200 ]; }
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
