# orders.sh - keys, a quota, evacuations and a cold upstream in the runs of tools/fault
# Needs mesh.sh, set_lib.sh and all that tools/fault sets. Three nodes after those that have faults:
# two in different zones with the service "keyed", of an organisation that has a quota and whose keys
# are revoked one after the other, and one whose upstream is cold all the time.
# shellcheck shell=bash disable=SC2154
orders_nodes=3
order_late_ms=5000
keys=4
keyed_per_s=10
quota_window_ms=5000
# (rate x window + burst) x (1 + quota_overage) + quota_slack
quota_most=$((60 * 11 / 10 + 20))
cold_per_s=4
# cold_per_s x cold_overage + cold_slack
cold_most=14

zone_of() { sed -n 's/^zone=//p' "$dir/node$1.ini"; }

# set_of_keys VERSION - the set whose oldest key is that of VERSION
set_of_keys() {
	local key list=
	for ((key = $1; key <= keys; key++)); do list=$list${list:+,}\"key-$key\"; done
	printf '{"version":%s,"routes":[{"name":"k","host":"keyed.example","prefix":"/","repeat":"never",' "$1"
	printf '"timeout_ms":2000,"attempts":2,"service":"keyed"},{"name":"c","host":"cold.example","prefix":"/",'
	printf '"anonymous":true,"repeat":"never","timeout_ms":2000,"attempts":2,"service":"cold"}],'
	printf '"services":[{"name":"keyed"},{"name":"cold","health_path":"/health","cold_per_s":%s}],' $cold_per_s
	printf '"organisations":[{"name":"few","keys":[%s],"rate_per_s":%s,"burst":%s}]}' "$list" \
		$keyed_per_s $keyed_per_s
}

# set_orders QUOTA_SLACK COLD_OVERAGE - adds to the settings of control processes and nodes, before they start
set_orders() {
	local i
	for i in 1 2 3; do sed -i "s/^\[control\]/&\nquota_slack=$1/" "$dir/control$i.ini"; done
	for i in $(seq $((nodes + orders_nodes))); do
		sed -i "s/^\[node\]/&\nkey_confirmation_ms=$order_late_ms\nload_asks_per_s=20\ncold_overage=$2\ncold_slack=8/" \
			"$dir/node$i.ini"
	done
}

start_orders() {
	local i
	for i in $((nodes + 1)) $((nodes + 2)); do
		start_node "$i"
		start_upstream "$i" keyed -d 50 -k 4 -r "$dir/record.$(zone_of "$i")"
	done
	start_node $((nodes + 3))
	start_upstream $((nodes + 3)) cold -k 40 -r "$dir/record.cold" -c 3600000
}

# start_order_callers SECONDS - of all keys and of the cold upstream, for about that time
start_order_callers() {
	local key ports
	ports=$(for i in $all_nodes; do caller_port "$i"; done | paste -sd,)
	for ((key = 1; key <= keys; key++)); do
		run caller_key$key $programs/caller -p "$ports" -H keyed.example -i "key$key" -A "key-$key" \
			-S "$dir/sent" -T "$dir/cuts" -n $(($1 * 10)) -c 4 -w 300 -t 2000
	done
	run caller_cold $programs/caller -p "$ports" -H cold.example -i cold -T "$dir/cuts" -n $(($1 * 6)) -c 8 -w 50 -t 1000
}

# until_accepted PATH OPTION... - sends a change to one control process after the other. Its client
# leaves after a second, so that copies come late from processes that stand still.
until_accepted() {
	local i
	for ((i = RANDOM % 3 + 1; ; i = i % 3 + 1)); do
		[ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "${@:2}" "http://127.0.0.1:$(api_port $i)/v1/$1")" = 200 ] && return
		sleep 0.1
	done
}
put_keys() { until_accepted set -X PUT -H "If-Match: $(($1 - 1))" --data-binary "$(set_of_keys "$1")"; }

# begin_orders SECONDS - declares the set, and starts callers for about that time once nodes have it
begin_orders() {
	local i
	put_keys 1
	for i in $all_nodes; do
		wait_for "the keys at node $i" gets "200 " "$i" keyed.example -H "Authorization: Bearer key-$keys" ||
			broken "no keys at node $i"
	done
	start_order_callers "$1"
}

# evacuate ZONE, restore ZONE - print what was acknowledged
evacuate() {
	until_accepted "evacuations/$1" -X PUT
	echo "evacuated $1 $(now_ms)"
}
restore() {
	echo "restored $1 $(now_ms)"
	until_accepted "evacuations/$1" -X DELETE
}
# stay SECONDS - until then, or the end of the run
stay() {
	local i
	for ((i = 0; i < $1 * 10; i++)); do
		[ -e "$dir/end_orders" ] && return
		sleep 0.1
	done
}

# make_orders - revokes keys and evacuates zones in turn; prints what was acknowledged. Each zone is
# evacuated again right after it was restored, before a late copy of the restoration can come.
make_orders() {
	local version zone
	for ((version = 2; ; version++)); do
		if ((version <= keys)); then
			put_keys $version
			echo "revoked key$((version - 1)) $(now_ms)"
		fi
		zone=$(zone_of $((nodes + 1 + version % 2)))
		evacuate "$zone"
		stay 2
		restore "$zone"
		evacuate "$zone"
		stay 10
		restore "$zone"
		[ -e "$dir/end_orders" ] && return
	done
}
no_zone_is_evacuated() {
	curl -s -m 2 "http://127.0.0.1:$(api_port 1)/v1/evacuations" | grep -q '"evacuations":\[\]'
}

end_orders() {
	touch "$dir/end_orders"
	wait_for "the end of the orders" ended orders || broken "the orders did not end"
	unset "pid[orders]"
	wait_for "the last order" no_zone_is_evacuated || broken "a zone that was restored is evacuated"
}

# sent_of_quota - prints when each call that ran of the organisation was sent
sent_of_quota() {
	awk 'FILENAME ~ /sent$/ { sent[$1] = $2; next }
		$3 == "few" && !seen[$2]++ { print $2 in sent ? sent[$2] : $1 }' "$dir/sent" "$dir"/record.zone-*
}

# check_orders - prints each violation of an order, of the quota and of the cold upstream's rate
check_orders() {
	local most
	awk -v late_ms=$order_late_ms 'FILENAME ~ /orders.out$/ && $1 == "revoked" { revoked[$2] = $3 + late_ms }
		FILENAME ~ /orders.out$/ && $1 == "evacuated" { begin[$2, ++n[$2]] = $3 + late_ms; end[$2, n[$2]] = 9e15 }
		FILENAME ~ /orders.out$/ && $1 == "restored" { end[$2, n[$2]] = $3 }
		FILENAME ~ /orders.out$/ { next }
		FILENAME ~ /sent$/ { sent[$1] = $2; next }
		{ zone = FILENAME; sub(/.*record\./, "", zone); key = $2; sub(/-.*/, "", key); tried++ }
		key in revoked && sent[$2] > revoked[key] { print $2 ": ran with a key that was revoked" }
		{ for (i = 1; i <= n[zone]; i++) if ($1 > begin[zone, i] && $1 < end[zone, i])
			print $2 ": ran in the evacuated zone " zone }
		END { if (!tried) print "no call with a key ran" }' "$dir/orders.out" "$dir/sent" "$dir"/record.zone-*
	most=$(sent_of_quota | most_in_window $quota_window_ms)
	[ "$most" -le $quota_most ] ||
		echo "quota: $most calls of the organisation ran within $quota_window_ms ms, the bound is $quota_most"
	most=$(most_in_window 1000 "$dir/record.cold")
	[ "$most" -gt 0 ] || echo "no call ran at the cold upstream"
	[ "$most" -le $cold_most ] || echo "cold: $most calls ran at the cold upstream within a second, the bound is $cold_most"
}

summary_of_orders() {
	echo "$(cat "$dir"/record.zone-* | wc -l) calls with a key," \
		"$(sent_of_quota | most_in_window $quota_window_ms) of $quota_most in a window," \
		"$(grep -c ^revoked "$dir/orders.out") keys revoked, $(grep -c ^evacuated "$dir/orders.out") evacuations," \
		"$(most_in_window 1000 "$dir/record.cold") of $cold_most cold calls in a second;" \
		"$(cat "$dir"/caller_key*.out | cut -d' ' -f3,5 | sort | uniq -c | sort -rn | tr -s ' \n' ' ')"
}
