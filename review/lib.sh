# lib.sh - a small deployment on loopback for the scripts of the review
# Each machine has a loopback address of its own, as the deploy file's templates want; the ports are
# the same on all machines. Only processes that were started here are signalled, by pid.

top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
here=$(cd "$(dirname "$0")" && pwd)
standin=$top/review/bin/standin
program=$top/target/lavenderlead
trouble=${TROUBLE:-1}
record=$here/record.txt
declare -A pid=()
# Ports outside of the range of outgoing connections; see begin.
api=17146 peer=17660 out=17141 ready=17140 register=17146 app=17147

now() { "$standin" now; }
say() { printf '%s %s\n' "$(now)" "$*" >>"$record"; }
cannot_run() {
	say "cannot run: $*"
	exit 2
}

end_all() {
	local name
	for name in "${!pid[@]}"; do
		kill -CONT "${pid[$name]}" 2>/dev/null
		kill -KILL "${pid[$name]}" 2>/dev/null
	done
	for name in "${!pid[@]}"; do wait "${pid[$name]}" 2>/dev/null; done
	[ -n "${dir-}" ] && rm -rf "$dir"
}

# begin - checks what was built, takes a free block of loopback addresses, makes a temporary folder
begin() {
	: >"$record"
	[ -x "$program" ] && [ -x "$standin" ] || cannot_run "target/lavenderlead or review/bin/standin is missing"
	local low try
	read -r low _ </proc/sys/net/ipv4/ip_local_port_range
	((low > 17700)) || say "the range of outgoing connections begins at $low"
	for try in 1 2 3 4 5 6 7 8; do
		net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
		# The nodes' local ports are all at 127.0.0.1.
		local_api=$((20000 + RANDOM % 10000))
		"$standin" free $net.1 $api $peer $out $ready $app &&
			"$standin" free 127.0.0.1 $(seq $((local_api + 11)) $((local_api + 30))) && break
		net=
	done
	[ -n "$net" ] || cannot_run "no free ports"
	dir=$(mktemp -d)
	trap end_all EXIT
	trap 'exit 2' HUP INT TERM
	cd "$top" || exit 2
}

# run NAME COMMAND... - starts a process of the test
run() {
	local name=$1
	shift
	"$@" >>"$dir/$name.log" 2>&1 </dev/null &
	pid[$name]=$!
}

end() { # end NAME SIGNAL
	kill "-$2" "${pid[$1]}" 2>/dev/null
	wait "${pid[$1]}" 2>/dev/null
	unset "pid[$1]"
}

# start_control N FOUND SEEDS - as deploy/control.ini is filled in; N is the last byte of its address
start_control() {
	cat >"$dir/control$1.ini" <<X
[cluster]
name=lavenderlead

[control]
address=$net.$1
zone=zone-$(($1 % 3))
region=region
data=$dir/data$1
api_listen=$net.$1:$api
peer_port=$peer
seeds=$3
found=$2
losses=2

shutdown_grace_s=6

[log]
format=json
X
	run "control$1" "$program" serve -c "$dir/control$1.ini"
}

# seeds N... - the ControlPlane addresses of these control machines
seeds() {
	local n text=
	for n in "$@"; do text=$text${text:+,}$net.$n:$api; done
	echo "$text"
}

# start_node N SERVICE SEEDS - as deploy/node.ini is filled in
start_node() {
	cat >"$dir/node$1.ini" <<X
[cluster]
name=lavenderlead

[node]
address=$net.$1
zone=zone-$(($1 % 3))
region=region
caller_listen=$net.$1:$out
register_listen=$net.$1:$register
ready_listen=$net.$1:$ready
peer_port=$peer
local_port=$((local_api + $1))
seeds=$3
service=$2
dialect=platform
shutdown_grace_s=6
retry_budget_ratio=0.2
retry_budget_slack=58
retry_budget_window_s=10
load_asks_per_s=60

[log]
format=json
X
	run "node$1" "$program" serve -c "$dir/node$1.ini"
}

# start_target N SERVICE ID WORK_MS - the target beside node N; its log is $dir/runs.N
start_target() {
	run "target$1" "$standin" target $net.$1 $app "$2" "$3" "$4" "$dir/runs.$1" $net.$1 $register 1500
}

is_ready() { [ "$("$standin" http $net.$1 $ready 500 GET /v1/ready </dev/null | head -1)" = 200 ]; }

# wait_until SECONDS COMMAND... - repeats the command until it succeeds
wait_until() {
	local end=$(($(now) + $1 * 1000))
	shift
	until "$@"; do
		(($(now) < end)) || return 1
		sleep 0.1
	done
}

# put_set N VERSION BASE ROUTES SERVICES - sends a configuration to control N; prints the status
put_set() {
	local body status list= s
	for s in $5; do
		list="$list${list:+,}{\"name\":\"$s\",\"health_path\":\"/health\",\"connections\":220,\"Protocol\":\"h1\",\"TransportLayerSecurity\":false}"
	done
	body="{\"version\":$2,\"routes\":[$4],\"services\":[$list],\"limits\":{\"head_bytes\":16384,\"body_bytes\":67108864,\"head_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
	status=$(printf %s "$body" | "$standin" http $net.$1 $api 1500 PUT /v1/set "If-Match: $3" "Content-Type: application/json" | head -1)
	say "configuration $2 on $3 to control $1: $status"
	echo "$status"
}

# route NAME PREFIX REPEAT SERVICE
route() {
	printf '{"name":"%s","host":"shop.example","prefix":"%s","repeat":"%s","timeout_ms":2000,"target_ms":500,"priority":0,"service":"%s","attempts":2}' "$1" "$2" "$3" "$4"
}

# call N METHOD PATH ID - a client's request at node N; prints status and body on one line
call() {
	local text
	text=$("$standin" http $net.$1 $out 2500 "$2" "$3" "Host: shop.example" "Lavenderlead-Attempt-Id: $4" "Lavenderlead-Deadline-Remaining: 2000" </dev/null | tr '\n' ' ')
	say "request $4 $2 $3 at node $1: $text"
	echo "$text"
}
