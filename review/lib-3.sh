# lib-3.sh - what the scripts of the third review share. Source it from the folder of a case, with
# ZONES (the zones of the nodes, one node each) and SERVICES (their services, in that order) set.
# CONTROLS control processes (5) at 127.A.0.1 and so on, nodes at 127.A.1.1 and so on, targets beside
# them. The settings are those of deploy/control.ini and deploy/node.ini, filled in as DEPLOY says.

set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
review=$(dirname "$case_dir")
root=$(dirname "$review")
program=$root/target/lavenderlead
standin=$review/bin/standin-3
CONTROLS=${CONTROLS:-5}
TROUBLE=${TROUBLE:-1}
declare -A pid
work=

say() { echo "$(date +%H:%M:%S.%3N) $*" >>"$case_dir/record.txt"; }
# could_not TEXT - the case can't run
could_not() {
	say "could not run: $*"
	echo "could not run: $*"
	exit 2
}
now() { "$standin" now; }
pause() { sleep "$1"; }

# run NAME COMMAND... - starts a process in the background; its pid is pid[NAME]
run() {
	local name=$1
	shift
	"$@" >>"$work/$name.out" 2>&1 &
	pid[$name]=$!
	disown $!
}
is_running() { [ -n "${pid[$1]:-}" ] && kill -0 "${pid[$1]}" 2>/dev/null; }
end_all() {
	local name
	for name in "${!pid[@]}"; do kill -CONT "${pid[$name]}" 2>/dev/null; done
	for name in "${!pid[@]}"; do kill -KILL "${pid[$name]}" 2>/dev/null; done
	for name in "${!pid[@]}"; do
		while kill -0 "${pid[$name]}" 2>/dev/null; do sleep 0.02; done
	done
	[ "${KEEP:-0}" = 1 ] && echo "kept: $work" || rm -rf "$work"
}

control_at() { echo "127.$octet.0.$1"; }
node_at() { echo "127.$octet.1.$1"; }
api() { echo "$(control_at "$1"):$api_port"; }

# pick_addresses - finds a network of loopback addresses, 127.A.x.x, on which the ports are free
pick_addresses() {
	local i list
	api_port=8146 entry_port=8141 ready_port=8140 target_port=8147 peer_port=7660 local_port=7675
	for octet in $(shuf -i 20-220 -n 20); do
		list=
		for i in $(seq "$CONTROLS"); do list="$list $(control_at "$i"):$api_port $(control_at "$i"):$peer_port"; done
		for i in $(seq ${#zones[@]}); do
			for p in $api_port $entry_port $ready_port $target_port $peer_port; do list="$list $(node_at "$i"):$p"; done
		done
		"$standin" free $list && return
	done
	could_not "no free ports"
}

seeds() { echo "$(control_at 1):$api_port,$(control_at 2):$api_port,$(control_at 3):$api_port"; }

# control_settings I FIRST_START ZONE
control_settings() {
	cat >"$work/control$1.ini" <<INI
[cluster]
name=lavenderlead

[control]
address=$(control_at "$1")
zone=$3
region=home
data=$work/data$1
api_listen=$(api "$1")
peer_port=$peer_port
seeds=$(seeds)
found=$2
losses=2
shutdown_grace_s=6
${CONTROL_EXTRA:-}

[log]
format=json
INI
}

# node_settings J SERVICE ZONE LOCAL_PORT
node_settings() {
	local at
	at=$(node_at "$1")
	cat >"$work/node$1.ini" <<INI
[cluster]
name=lavenderlead

[node]
address=$at
zone=$3
region=home
caller_listen=$at:$entry_port
register_listen=$at:$api_port
ready_listen=$at:$ready_port
peer_port=$peer_port
local_port=$4
seeds=$(seeds)
service=$2
dialect=platform
shutdown_grace_s=6
retry_budget_ratio=0.2
retry_budget_slack=58
retry_budget_window_s=10
load_asks_per_s=60
${NODE_EXTRA:-}

[log]
format=json
INI
}

start_control() { run "control$1" "$program" serve -c "$work/control$1.ini"; }
start_node() { run "node$1" "$program" serve -c "$work/node$1.ini"; }
# start_target J ID WORK_MS
start_target() {
	run "target$1" "$standin" target "$(node_at "$1"):$target_port" "$2" "${services[$1 - 1]}" "${zones[$1 - 1]}" \
		"$(node_at "$1"):$api_port" "$work/ran$1" "$3"
}

# begin - the stand-ins and the program are there; the processes start, with empty folders
begin() {
	local i
	: >"$case_dir/record.txt"
	zones=($ZONES)
	services=($SERVICES)
	work=$(mktemp -d -t review3.XXXXXX)
	trap end_all EXIT
	trap 'exit 2' HUP INT TERM
	[ -x "$program" ] && [ -x "$standin" ] || could_not "not built: $program or $standin"
	pick_addresses
	say "TROUBLE=$TROUBLE; $CONTROLS control processes, ${#zones[@]} nodes, addresses 127.$octet.x.x"
	for i in $(seq "$CONTROLS"); do
		mkdir -p "$work/data$i"
		control_settings "$i" true "${zones[$(((i - 1) % ${#zones[@]}))]}"
		start_control "$i"
	done
	for i in $(seq ${#zones[@]}); do
		# the loopback port of the product's own interface is one for the whole machine here
		node_settings "$i" "${services[i - 1]}" "${zones[i - 1]}" $((local_base + i))
		start_node "$i"
	done
}
local_base=$((20000 + RANDOM % 9000))

# operator METHOD TARGET FIRST_CONTROL [ARGUMENT...] - an order as the operator sends it: to a control
# process, and after a second without an answer, a failure, a 5xx, a 408 or 429, to the next one, with
# growing pauses. Sets status, answered_by and acked_ms.
operator() {
	local method=$1 target=$2 at=$3 try text gap=0.1
	shift 3
	status=0
	for try in $(seq 12); do
		text=$("$standin" call 1000 "$method" "$(api "$at")" "$target" "$@")
		acked_ms=$(now)
		status=${text%% *} body=${text#* }
		answered_by=$at
		say "operator: $method $target to control $at: $status ${body:0:120}"
		case $status in
		0 | 5?? | 408 | 429) ;;
		*) return ;;
		esac
		sleep $gap
		gap=0.$((${gap#0.} + 1))
		[ "${gap#0.}" -gt 9 ] && gap=0.9
		at=$((at % CONTROLS + 1))
	done
}

# put_config BASE FILE
put_config() {
	operator PUT /v1/set 1 "If-Match: $1" "Content-Type: application/json" -d "@$2"
	[ "$status" = 200 ] || could_not "the configuration was not accepted: $status"
}

# wait_ready - all nodes say that they are ready
wait_ready() {
	local i n
	for i in $(seq ${#zones[@]}); do
		for n in $(seq 100); do
			[ "$("$standin" call 1000 GET "$(node_at "$i"):$ready_port" /v1/ready | cut -d' ' -f1)" = 200 ] && break
			sleep 0.1
		done
		[ "$n" = 100 ] && could_not "node $i is not ready"
	done
}

# start_clients J HOST PATH GAP_MS THREADS DEADLINE_MS [HEADER...] - clients on the machine of node J
start_clients() {
	local j=$1
	shift
	run "clients$j" "$standin" clients "$(node_at "$j"):$entry_port" "$1" "$2" "$work/sent$j" "c$j" "$3" "$4" "$5" "${@:6}"
}
# end_process NAME - ends it with SIGTERM and waits
end_process() {
	kill -TERM "${pid[$1]}" 2>/dev/null
	while kill -0 "${pid[$1]}" 2>/dev/null; do sleep 0.02; done
	unset "pid[$1]"
}
