#!/bin/bash
# badinput_test - bad input, ports and data folders in use, full disks: expects a clear error, a
# raised counter and no lost data
# shellcheck source=test/cmd_lib.sh
. "$(dirname "$0")/cmd_lib.sh"
bin=${BIN:-./lavenderlead}
badinput=${OUT:-build}/test/programs/badinput
base=27400
control=127.0.0.1:27410,127.0.0.1:27420,127.0.0.1:27430

DATA=$dir/data tools/mesh-settings "$dir" breizh $base breizh-rennes breizh-brest breizh-vannes 2
for i in 1 2 3; do
	start $bin serve -c "$dir/control$i.ini"
done
for i in 1 2; do
	printf '[log]\nlevel=info\nfile=%s\n' "$dir/node$i.log" >>"$dir/node$i.ini"
	start $bin serve -c "$dir/node$i.ini"
	start ${OUT:-build}/test/programs/upstream -p $((base + 500 + i)) -n $((base + 102 + 10 * i)) \
		-s sightings -l "$dir/runs"
done
has_upstreams() { [ "$($bin status --control $control | grep -c '"connections"')" = 2 ]; }
wait_for "registration of 2 upstreams" has_upstreams
run 0 "in force" $bin apply -f examples/breizh/services --control $control

# metric PORT NAME - prints the value of a counter
metric() { curl -s "http://127.0.0.1:$1/v1/metrics" | sed -n "s/^lavenderlead_$2_total //p"; }

# check_alive WHAT - checks that every process runs, and that calls through both nodes get their own
# answer
check_alive() {
	local what=$1 pid node answer
	for pid in "${pids[@]}"; do
		kill -0 "$pid" 2>/dev/null || fail "after $what: process $pid has ended"
	done
	for node in 27510 27520; do
		answer=$(curl -s -m 10 -H 'Host: sightings.breizh.example' \
			-H "Request-Id: $what-$node" --data x "http://127.0.0.1:$node/checklists")
		case $answer in
		"POST /checklists id=$what-$node "*) ;;
		*) fail "after $what: node $node answered: $answer" ;;
		esac
	done
	run 0 sightings $bin get service sightings --control $control
}

# check_raises WHAT PORT COUNTER COMMAND... - checks that the command raises the counter
check_raises() {
	local what=$1 port=$2 name=$3 before after
	shift 3
	before=$(metric "$port" "$name")
	"$@" >/dev/null || fail "$what: $* failed"
	after=$(metric "$port" "$name")
	[ "$after" -gt "$before" ] || fail "$what: $name is still $after"
}

check_alive start
check_raises "malformed requests of callers" 27512 http_malformed $badinput -p 27510 -k http
check_raises "malformed requests at local_port" 27512 http_malformed $badinput -p 27512 -k http
check_raises "malformed requests at api_port" 27410 http_malformed $badinput -p 27410 -k http
check_alive http
check_raises "bad hellos at a node" 27512 frame_bad $badinput -p 27511 -k hello
check_raises "huge frame at a node" 27512 frame_too_large $badinput -p 27511 -k hello
check_raises "bad hellos at control" 27410 frame_bad $badinput -p 27411 -k hello
check_alive hello
for seed in 1 2; do
	check_raises "frames at a node" 27512 frame_bad $badinput -p 27511 -k frames -r node -s $seed -n 60
	for i in 1 2 3; do
		check_raises "frames at control" 274${i}0 frame_bad \
			$badinput -p 274${i}1 -k frames -r node -s $seed -n 40
		check_raises "frames at control" 274${i}0 frame_bad \
			$badinput -p 274${i}1 -k frames -r control -s $seed -n 40
	done
done
check_alive frames

# Guards against: bodies whose nesting ends each process that parses them.
# nested LEVELS - prints LEVELS objects within one another
nested() { printf "%0$1d" 0 | sed 's/0/{"":/g'; printf 1; printf "%0$1d" 0 | sed 's/0/}/g'; }
# check_nested METHOD PORT PATH JSON - checks that the body is refused with a clear error
check_nested() {
	local answer
	printf '%s' "$4" >"$dir/nested"
	answer=$(curl -s -m 10 -X "$1" -w ' %{http_code}' --data-binary @"$dir/nested" \
		"http://127.0.0.1:$2$3")
	[[ $answer == *" 400" ]] || fail "nested $1 $3 at $2: $answer"
}
for levels in 65 800 900 1000 1500 1840 2044 4000; do
	body=$(nested $levels)
	for port in 27410 27420 27430; do
		check_nested PUT $port /v1/services/sightings "{\"name\":\"sightings\",\"hosts\":$body}"
		check_nested PUT $port /v1/set "{\"version\":1,\"routes\":[],\"services\":[],\"notes\":$body}"
	done
	check_nested PUT 27512 /v1/upstream "{\"service\":\"sightings\",\"slots\":$body}"
done
check_alive nested

# A body over the limit is refused, not run, and counted.
head -c 9000000 /dev/zero >"$dir/big"
check_raises "large body" 27512 body_too_large curl -s -o "$dir/answer" -D "$dir/head" \
	-H 'Host: sightings.breizh.example' -H 'Request-Id: big' -H 'Expect:' \
	--data-binary @"$dir/big" http://127.0.0.1:27510/checklists
grep -q '^HTTP/1.1 413' "$dir/head" || fail "large body: $(head -1 "$dir/head")"
grep -q '^Lavenderlead-Outcome: not-run' "$dir/head" || fail "large body: no outcome"
grep -q '^Lavenderlead-Reason: body-too-large' "$dir/head" || fail "large body: no reason"
grep -q '^big ' "$dir/runs" && fail "the large body was run"

# A request that the HTTP library refuses by itself gets the outcome header too.
printf 'hoopoe\r\n\r\n' >"$dir/request"
exec 3<>/dev/tcp/127.0.0.1/27510
cat "$dir/request" >&3
timeout 5 cat <&3 >"$dir/head"
exec 3>&-
grep -q '^Lavenderlead-Outcome: not-run' "$dir/head" || fail "malformed: $(cat "$dir/head")"

# Ports in use: the second process names the port and exits with 1; the first keeps running.
for f in control1 node1; do
	sed "s|^data=.*|data=$dir/data/second|" "$dir/$f.ini" | grep -v '^file=' >"$dir/second.ini"
	run 1 "is the port in use" timeout 20 $bin serve -c "$dir/second.ini"
	grep -q '_port=27' <<<"$out" || fail "$f: the error does not name the port: $out"
done
# Data folders: one is in use, one cannot be created.
run 1 "in use by another process" timeout 20 $bin serve -c "$dir/control1.ini"
sed 's|^data=.*|data=/dev/null/x|; s/2741/2749/' "$dir/control1.ini" >"$dir/second.ini"
run 1 "cannot make /dev/null/x" timeout 20 $bin serve -c "$dir/second.ini"
printf '[log]\nfile=/nonexistent/log\n' >>"$dir/second.ini"
run 1 "cannot write the log file" timeout 20 $bin serve -c "$dir/second.ini"
check_alive ports

# SIGHUP: the process stops writing to a rotated log file at once.
mv "$dir/node1.log" "$dir/node1.log.1"
kill -HUP "${pids[3]}"
wait_for "new log file" grep -q "log file opened again" "$dir/node1.log"
# At level info the log has the answer to each non-idempotent call, but no line for a successful
# read.
check_alive hup
expect_equal "answers logged" "$(grep -c ' answer .*rank=checklist status=200 ' "$dir/node1.log")" 1
before=$(wc -l <"$dir/node1.log")
for _ in $(seq 50); do
	curl -s -m 10 -o "$dir/page" -H 'Host: sightings.breizh.example' http://127.0.0.1:27510/species/hoopoe
done
expect_equal "log lines of 50 reads" "$(grep -c rank=page "$dir/node1.log")" 0
[ "$(wc -l <"$dir/node1.log")" -le $((before + 1)) ] || fail "successful reads are logged"

# A full log disk: the node keeps serving and counts the lost lines.
sed "s|^file=.*|file=/dev/full|; s/=2751/=2755/" "$dir/node1.ini" >"$dir/full.ini"
start $bin serve -c "$dir/full.ini"
wait_for "node with a full log disk" curl -sf http://127.0.0.1:27552/v1/metrics
[ "$(metric 27552 log_lost)" -gt 0 ] || fail "log-lost is $(metric 27552 log_lost)"

# A full data disk, simulated by a file size limit: the process ends with a clear error, and no
# accepted change is lost.
cat >"$dir/small.ini" <<-INI
	[cluster]
	name=small
	[control]
	id=1
	address=127.0.0.1
	zone=z
	data=$dir/small
	api_port=27460
	peer_port=27461
	members=1@127.0.0.1:27461
INI
mkdir "$dir/many"
for i in $(seq 60); do
	sed "s/sightings/s$i/g" examples/breizh/services/sightings.json >"$dir/many/s$i.json"
done
(
	ulimit -f 16
	exec $bin serve -c "$dir/small.ini" >"$dir/small.log" 2>&1
) &
small=$!
pids+=($small)
wait_for "small group" $bin get --control 127.0.0.1:27460
accepted=0
for i in $(seq 60); do
	curl -sf -m 5 -o /dev/null -X PUT --data @"$dir/many/s$i.json" \
		http://127.0.0.1:27460/v1/services/s$i || break
	accepted=$i
done
[ "$accepted" -gt 0 ] && [ "$accepted" -lt 60 ] || fail "accepted $accepted of 60"
small_has_ended() { ! kill -0 $small 2>/dev/null; }
wait_for "the end of the process whose disk is full, after $accepted changes" small_has_ended || kill -KILL $small
wait $small
expect_equal "exit of a full disk" $? 1
grep -q "cannot write to the data folder, ending" "$dir/small.log" || cat "$dir/small.log"
grep -q "cannot write to the data folder, ending" "$dir/small.log" || fail "no clear error"
unset 'pids[-1]'
start $bin serve -c "$dir/small.ini"
wait_for "small group" $bin get --control 127.0.0.1:27460
for i in $(seq "$accepted"); do
	curl -sf -o /dev/null http://127.0.0.1:27460/v1/services/s$i || fail "lost: s$i"
done
check_alive end
for id in $(cut -d' ' -f1 "$dir/runs" | grep -v '^-$' | sort | uniq -d); do
	fail "ran twice: $id"
done
finish
