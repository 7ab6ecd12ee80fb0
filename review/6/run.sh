#!/bin/bash
# A configuration with one deeply nested value: accepted, and no control process runs again.
# TROUBLE=0: the same orders with a plain value in its place. Exits with 1 if the rule is broken.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-2.sh"

# repeat TEXT N
repeat() { printf "%0$2d" 0 | sed "s/0/$1/g"; }

# write_set VERSION DEPTH
write_set() {
	local value=1
	[ "$TROUBLE" = 0 ] || [ "$2" = 0 ] || value="$(repeat '{"":' "$2")1$(repeat '}' "$2")"
	cat >"$dir/set" <<EOF
{"version":$1,"routes":[{"name":"r-1","host":"a.example","prefix":"/a/","repeat":"never","timeout_ms":$((1000 + $1)),"target_ms":300,"priority":1,"service":"svc","attempts":2}],"services":[{"name":"svc","health_path":"/health","connections":220}],"limits":{"head_bytes":16384,"body_bytes":67108864,"head_timeout_ms":3000,"idle_timeout_ms":15000},"notes":$value}
EOF
}

QUIET=1
for i in $(seq $CONTROLS); do write_control "$i" true; done
for i in $(seq $CONTROLS); do start_role "control$i"; done
pause 1
write_set 1 0
order "$dir/set" 0 20
say "the first configuration, version 1: $status"
[ "$status" = 200 ] || exit 2

# The depth at which this happens depends on the processor: first that of arm64, then all others.
acked=1 sent=1 base=1
for depth in ${DEPTHS:-1840 $(seq 1500 4 2044)}; do
	sent=$((sent + 1))
	write_set $sent "$depth"
	order "$dir/set" $base 4
	say "version $sent on $base, $(stat -c %s "$dir/set") bytes, depth $depth: $status"
	[ "$status" != 200 ] || { acked=$sent base=$sent; }
	pause 0.33
	((${#ended[@]} == 0)) || break
	# As many as at arm64 are enough for the run without trouble.
	[ "$TROUBLE" != 0 ] || [ "$depth" = 1840 ] || [ "$depth" -lt 1600 ] || break
done

# Where no depth does, the operator also watches for changes, which reads the configuration once more.
if ((${#ended[@]} == 0)); then
	for round in 1 2 3; do
		for i in $(seq $CONTROLS); do
			call GET "$(control_ip "$i"):$API" "/v1/watch" - 400
			tend
		done
		say "the operator has watched for changes at all control processes, 0.4 s each"
		pause 1.5
	done
fi

say "the newest acknowledged version is $acked; the operator reads it back for 25 s"
newest=0
end=$(($(now_ms) + 25000))
while [ "$(now_ms)" -lt $end ]; do
	read_set
	say "read at control1 to control$CONTROLS:$versions"
	late=$([ "$(now_ms)" -gt $((end - 8000)) ] && echo 1)
	for v in $versions; do
		[ "$v" != - ] && [ -n "$late" ] && [ "$v" -gt $newest ] && newest=$v
	done
	pause 1
done

often=0
for i in $(seq $CONTROLS); do
	n=${ended[control$i]:-0}
	say "control$i ended by itself $n times"
	[ "$n" -ge 3 ] && often=$((often + 1))
done
if [ $newest -lt $acked ]; then
	say "BROKEN: version $acked was acknowledged; in the last 8 s the newest one read is $newest"
	exit 1
fi
if [ $often -ge 3 ]; then
	say "BROKEN: $often of $CONTROLS control processes ended by themselves three times or more"
	exit 1
fi
say "held: version $newest is read back"
exit 0
