#!/bin/bash
# late_order_test.sh - orders that reach the group long after their clients have left
# Guards against: a control process that stood still, whose disk hung or whose link was held carries out
# the first copy of an order, which its client has given up or had acknowledged elsewhere, and undoes a
# later order that was acknowledged meanwhile.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/mesh.sh
. test/set_lib.sh
# A client waits for a second; the trouble lasts longer.
patience_s=1
trouble_ms=${TROUBLE_MS:-4000}
settle_s=3
plays=${PLAYS:-"freeze_1 freeze_2 freeze_3 disk_leader disk_follower link_leader"}

# order CONTROL SECONDS METHOD PATH [CURL_OPTION...] - prints the status; 000 without an answer
order() {
	curl -s -o /dev/null -w '%{http_code}' -m "$2" -X "$3" "${@:5}" "http://127.0.0.1:$(api_port "$1")/v1/$4"
}
# acknowledge METHOD PATH [CURL_OPTION...] - sends an order to $other until it is acknowledged; a
# service that is gone counts, as the response to an earlier copy may have been lost
acknowledge() {
	local status
	for _ in $(seq 10); do
		status=$(order "$other" 4 "$@")
		[[ $status = 20? || ($1 = DELETE && $status = 404) ]] && return
		sleep 0.2
	done
	fail "$1 $2 at control $other: $status"
}
service() {
	printf '{"name":"%s","ranks":[{"name":"all","match":[{"path":"/"}],"target_ms":%s,"worth":1,"floor_percent":1}]}' "$1" "$2"
}
put() { acknowledge PUT "services/$1" -d "$(service "$1" "$2")"; }
# get PATH FIELD - prints the value of the resource's first such field, nothing if there is no resource,
# "unread" if the read was not answered; it may find no leader for a while
get() {
	local text
	for _ in $(seq 50); do
		text=$(curl -s -m 5 -w '\n%{http_code}' "http://127.0.0.1:$(api_port "$other")/v1/$1")
		case ${text##*$'\n'} in
		200) sed -n "s/.*\"$2\":\(\[[^]]*\]\|[0-9]*\).*/\1/p" <<<"${text%$'\n'*}" && return ;;
		404) return ;;
		esac
		sleep 0.2
	done
	echo unread
}
target_of() { get "services/$1" target_ms; }
answers_read() { [ "$(order "$other" 1 GET evacuations)" = 200 ]; }

# put_set - replaces the set by the next version. The copy that was given up may have come before, when
# nothing had been acknowledged after it; the next version then builds on that one.
put_set() {
	local status
	for _ in $(seq 10); do
		status=$(order "$other" 4 PUT set -H "If-Match: $set_version" -d "$(set_of $((set_version + 1)))")
		if [ "$status" = 200 ]; then
			set_version=$((set_version + 1))
			return
		fi
		[ "$status" = 412 ] && set_version=$(version_of_set)
		sleep 0.2
	done
	fail "PUT set at control $other: $status"
}
set_of() { printf '{"version":%s,"routes":[],"services":[]}' "$1"; }
version_of_set() { get set version; }

# expect_state WHEN - what was acknowledged last is in force
expect_state() {
	local zones
	zones=$(get evacuations evacuations)
	[ "$zones" = '["zone-a","zone-c"]' ] || fail "$1: the evacuated zones are $zones"
	[ "$(version_of_set)" = "$set_version" ] || fail "$1: the set is version $(version_of_set), not $set_version"
	[ "$(target_of changed)" = 300 ] || fail "$1: the last declaration of changed is gone: $(target_of changed)"
	[ "$(target_of deleted)" = "" ] || fail "$1: the deleted service is back: $(target_of deleted)"
	[ "$(target_of declared)" = 300 ] || fail "$1: the service that was declared again is gone"
}

# first_copies CONTROL - sends orders whose clients leave without an answer
first_copies() {
	local waiting=() p
	first_copy() {
		order "$@" >/dev/null &
		waiting+=($!)
	}
	first_copy "$1" $patience_s DELETE evacuations/zone-a
	first_copy "$1" $patience_s PUT evacuations/zone-b
	first_copy "$1" $patience_s DELETE evacuations/zone-c
	first_copy "$1" $patience_s PUT services/changed -d "$(service changed 200)"
	first_copy "$1" $patience_s PUT services/deleted -d "$(service deleted 200)"
	first_copy "$1" $patience_s DELETE services/declared
	# Given up: the set that is acknowledged next has another text on the same base.
	first_copy "$1" $patience_s PUT set -H "If-Match: $set_version" -d "$(set_of $((set_version + 10)))"
	for p in "${waiting[@]}"; do wait "$p"; done
}

# later_orders - each first copy is given again at another process, and is followed by the contrary
later_orders() {
	acknowledge DELETE evacuations/zone-a
	acknowledge PUT evacuations/zone-b
	put changed 200
	put deleted 200
	acknowledge DELETE services/declared
	acknowledge PUT evacuations/zone-a
	acknowledge DELETE evacuations/zone-b
	put changed 300
	put_set
	acknowledge DELETE services/deleted
	put declared 300
	# This first copy was given up, and its contrary finds the zone evacuated already.
	acknowledge PUT evacuations/zone-c
}

relay() {
	local reply=
	exec 9<>"/dev/tcp/127.0.0.1/$relay_port" && echo "$*" >&9 && read -r -t 5 reply <&9
	exec 9>&-
	[ "$reply" = ok ] || fail "the relay did not take: $*"
}
# set_disk CONTROL STATE - returns once it is in force, which the process says on standard error
set_disk() {
	local before
	before=$(grep -c . "$dir/control$1.err")
	echo "$2 0" >"$dir/control$1.faults"
	for _ in $(seq 100); do
		[ "$(grep -c . "$dir/control$1.err")" != "$before" ] && return
		sleep 0.02
	done
	fail "the disk of control $1 is not $2"
}
# trouble KIND CONTROL begin|end
trouble() {
	case $1:$3 in
	freeze:begin) signal STOP "control$2" ;;
	freeze:end) signal CONT "control$2" ;;
	disk:begin) set_disk "$2" full ;;
	disk:end) set_disk "$2" ok ;;
	link:begin) relay "$2" hold ;;
	link:end) relay "$2" pass ;;
	esac
}
# find_control 1|2|3|leader|follower - prints the number of such a control process
find_control() {
	local leader
	leader=$(leader_id)
	case $1 in
	leader) echo "$leader" ;;
	follower) echo $((leader % 3 + 1)) ;;
	*) echo "$1" ;;
	esac
}

# play KIND_CONTROL - KIND of trouble at the control process of that number, or that leads or follows
play() {
	local kind=${1%_*} at first since
	wait_for "a leader" has_leader || fail "$1: no leader before"
	at=$(find_control "${1#*_}")
	other=$((at % 3 + 1))
	# Orders reach a process whose links are held through another one.
	first=$at
	[ "$kind" = link ] && first=$((other % 3 + 1))
	acknowledge PUT evacuations/zone-a
	acknowledge DELETE evacuations/zone-b
	acknowledge PUT evacuations/zone-c
	acknowledge DELETE services/deleted
	put changed 100
	put declared 100
	trouble "$kind" "$at" begin
	since=$(now_ms)
	first_copies "$first"
	wait_for "a leader at control $other" answers_read || fail "$1: no leader"
	later_orders
	while (($(now_ms) < since + trouble_ms)); do sleep 0.05; done
	trouble "$kind" "$at" end
	expect_state "$1, at its end"
	sleep $settle_s
	expect_state "$1, $settle_s s after its end"
}
knows_zones() {
	local zone
	for zone in a b c; do
		[ "$(order "$1" 4 DELETE evacuations/zone-$zone)" = 200 ] || return 1
	done
}

set_version=0
mesh_begin "${BASE:-31000}" 3
relay_port=$((base + 990))
for i in 1 2 3; do
	echo "ok 0" >"$dir/control$i.faults"
	sed -i "/^peer_listen=/d; s/^\[control\]/&\npeer_listen=127.0.0.1:$((base + 970 + i))/" "$dir/control$i.ini"
done
run relay $programs/relay -c $relay_port $(for i in 1 2 3; do echo "$((base + 10 * i + 1))=$((base + 970 + i))"; done)
for i in 1 2 3; do start_control $i; done
for i in 1 2 3; do start_node $i; done
wait_for "a leader" has_leader || exit 1
for i in 1 2 3; do wait_for "the zones at control $i" knows_zones $i || exit 1; done
for p in $plays; do play "$p"; done
report
