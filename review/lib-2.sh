# lib-2.sh - a small deployment on loopback for the cases 6 to 10: its processes, the platform and
# the operator. A case sets here=its folder and sources this file.
# It ends only processes that it started, by pid.

top=$(cd "$here/../.." && pwd) || exit 2
cd "$top" || exit 2
standin=target/review-2/standin-2
[ -x target/lavenderlead ] && [ -x $standin ] || {
	echo "not built: run the build of the deploy file and review/build-2.sh"
	exit 2
}
TROUBLE=${TROUBLE:-1}
dir=$(mktemp -d -t lavenderlead-review.XXXXXX) || exit 2
exec 2>"$dir/stderr"
record=$here/record.txt
: >"$record"
declare -A pid ended due
CONTROLS=5
API=18146 PEER=17660 LOCAL=17675 OUTBOUND=18141 READY=18140 APP=18147

now_ms() { echo $(($(date +%s%N) / 1000000)); }
began=$(now_ms)
# say TEXT - to the record, with the seconds since the start
say() { printf '%8.3f %s\n' "$((($(now_ms) - began)))e-3" "$*" | tee -a "$record"; }

control_ip() { echo "127.$net.0.$1"; }
node_ip() { echo "127.$net.1.$1"; }

# pick_net - finds a part of the loopback range whose addresses are free
pick_net() {
	local try i
	for try in $(seq 40); do
		net=$((16 + (RANDOM + $$ + try) % 200))
		local list=()
		for i in $(seq $CONTROLS); do list+=("$(control_ip "$i"):$API" "$(control_ip "$i"):$PEER"); done
		for i in 1 2 3 4; do
			list+=("$(node_ip "$i"):$OUTBOUND" "$(node_ip "$i"):$PEER" "$(node_ip "$i"):$APP"
				"127.0.0.1:$((LOCAL + 5 * net + i))")
		done
		$standin free "${list[@]}" 2>/dev/null && return
	done
	echo "no free addresses"
	exit 2
}

seeds() { echo "$(control_ip 1):$API,$(control_ip 2):$API,$(control_ip 3):$API"; }
zone() { case $(($1 % 3)) in 1) echo zone-a ;; 2) echo zone-b ;; 0) echo zone-c ;; esac; }

# write_control I FIRST_START - deploy/control.ini, filled in
write_control() {
	cat >"$dir/control$1.ini" <<EOF
[cluster]
name=lavenderlead

[control]
address=$(control_ip "$1")
zone=$(zone "$1")
region=region
data=$dir/data$1
api_listen=$(control_ip "$1"):$API
peer_port=$PEER
seeds=$(seeds)
found=$2
losses=2
shutdown_grace_s=6

[log]
format=json
EOF
}

# write_node I SERVICE - deploy/node.ini, filled in
write_node() {
	cat >"$dir/node$1.ini" <<EOF
[cluster]
name=lavenderlead

[node]
address=$(node_ip "$1")
zone=$(zone "$1")
region=region
caller_listen=$(node_ip "$1"):$OUTBOUND
register_listen=$(node_ip "$1"):$API
ready_listen=$(node_ip "$1"):$READY
peer_port=$PEER
local_port=$((LOCAL + 5 * net + $1))
seeds=$(seeds)
service=$2
dialect=platform
shutdown_grace_s=6
retry_budget_ratio=0.2
retry_budget_slack=58
retry_budget_window_s=10
load_asks_per_s=60

[log]
format=json
EOF
}

# start NAME COMMAND...
start() {
	local name=$1
	shift
	"$@" >>"$dir/$name.log" 2>&1 &
	pid[$name]=$!
}
start_role() { start "$1" target/lavenderlead serve -c "$dir/$1.ini"; }

# tend - what the platform does: a process that has ended starts again 0.5 s later; FirstStart is
# true only at the first start of the whole system
tend() {
	local name now status
	now=$(now_ms)
	for name in "${!pid[@]}"; do
		case $name in control* | node*) ;; *) continue ;; esac
		if [ -n "${due[$name]:-}" ]; then
			[ "$now" -lt "${due[$name]}" ] && continue
			unset "due[$name]"
			start_role "$name"
			say "the platform starts $name again"
		elif ! kill -0 "${pid[$name]}" 2>/dev/null; then
			wait "${pid[$name]}"
			status=$?
			ended[$name]=$((${ended[$name]:-0} + 1))
			due[$name]=$((now + 500))
			say "$name has ended by itself, status $status$([ $status -gt 128 ] && echo " (signal $((status - 128)))")"
			case $name in control*) write_control "${name#control}" false ;; esac
		fi
	done
}

# pause SECONDS - while the platform goes on
pause() {
	local end=$(($(now_ms) + $(printf '%.0f' "$1e3")))
	while [ "$(now_ms)" -lt "$end" ]; do
		tend
		sleep 0.05
	done
}

# call METHOD ADDRESS:PORT PATH FILE TIMEOUT_MS [HEADER...] - sets status and answer
call() {
	local out
	out=$($standin call "$@")
	status=${out%% *}
	answer=${out#* }
}

# order FILE BASE TRIES - an order of the operator: sent unchanged to one node after the other, with
# growing pauses, until there is a clear answer. Sets status; acknowledged, if it is 200
next=0
order() {
	local try node
	for try in $(seq "$3"); do
		next=$((next % CONTROLS + 1))
		node=$next
		call PUT "$(control_ip $node):$API" /v1/set "$1" 1000 "If-Match: $2" "Content-Type: application/json"
		tend
		case $status in
		200 | 400 | 409 | 412 | 413 | 422) return ;;
		esac
		[ -n "${QUIET:-}" ] || say "  no clear answer from control$node: $status"
		pause "$(awk "BEGIN { print 0.1 * ($try < 10 ? $try : 10) }")"
	done
}

# read_set - reads the configuration at each control process; sets versions, a list
read_set() {
	local i
	versions=
	for i in $(seq $CONTROLS); do
		call GET "$(control_ip "$i"):$API" /v1/set - 1000
		if [ "$status" = 200 ]; then
			versions="$versions $(echo "$answer" | sed 's/.*"version":\([0-9]*\),"routes".*/\1/')"
		else
			versions="$versions -"
		fi
		tend
	done
}

end_all() {
	local name
	for name in "${!pid[@]}"; do
		kill -CONT "${pid[$name]}" 2>/dev/null
		kill -KILL "${pid[$name]}" 2>/dev/null
	done
	wait 2>/dev/null
	[ -z "${KEEP_LOGS:-}" ] || cp "$dir"/*.log "$KEEP_LOGS"
	rm -rf "$dir"
}
trap end_all EXIT
trap 'exit 2' HUP INT TERM
pick_net

# Targets. Their heartbeats are sent from here, each HeartbeatIntervalS.
BEAT_MS=1500
declare -A state sequence beat_due
born=$(date +%s%3N)

# service I - the service of target I: the third machine only sends requests to the other two
service() { [ "$1" = 3 ] && echo other || echo svc; }

# write_beat I STATE SEQUENCE - a heartbeat of target I in $dir/beatI
write_beat() {
	echo "{\"service\":\"$(service "$1")\",\"address\":\"$(node_ip "$1"):$APP\",\"zone\":\"$(zone "$1")\",\"version\":\"v1\",\"slots\":12,\"state\":\"$2\",\"cold_ms\":0,\"sequence\":$3,\"born\":$born}" >"$dir/beat$1"
}
# send_beat I FILE - sets status
send_beat() { call PUT "$(node_ip "$1"):$API" "/v1/instances/i-$1" "$2" 1000 "Content-Type: application/json"; }
# beat I - the next heartbeat of target I
beat() {
	sequence[$1]=$((${sequence[$1]:-0} + 1))
	beat_due[$1]=$(($(now_ms) + BEAT_MS))
	write_beat "$1" "${state[$1]}" "${sequence[$1]}"
	send_beat "$1" "$dir/beat$1"
}
# beats - sends the heartbeats that are due
beats() {
	local i
	for i in "${!state[@]}"; do
		[ "${state[$i]}" = gone ] || [ "$(now_ms)" -lt "${beat_due[$i]:-0}" ] || beat "$i"
	done
}
# start_target I [WORK_MS]
start_target() {
	start "target$1" $standin target "$(node_ip "$1"):$APP" "i-$1" "${2:-300}" "$dir/target$1.log"
	state[$1]=up
}
# run_for SECONDS - the platform and the targets go on
run_for() {
	local end=$(($(now_ms) + $(printf '%.0f' "$1e3")))
	while [ "$(now_ms)" -lt "$end" ]; do
		tend
		beats
		sleep 0.02
	done
}
# clock - the steady clock of the logs, in ms
clock() { awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime; }
