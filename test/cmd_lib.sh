# cmd_lib - for the process-level tests: start, wait, expect; everything ends by pid
# shellcheck shell=bash
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 1
dir=$(mktemp -d)
pids=()
failures=0

end_all() {
	local k
	for ((k = ${#pids[@]} - 1; k >= 0; k--)); do
		kill -CONT "${pids[$k]}" 2>/dev/null
		kill -TERM "${pids[$k]}" 2>/dev/null
	done
	wait
	rm -rf "$dir"
}
trap end_all EXIT

# start COMMAND... - in the background, its output in $dir/out; $! is its pid
start() {
	"$@" >>"$dir/out" 2>&1 &
	pids+=($!)
}

# wait_for WHAT COMMAND... - until the command succeeds, at most 20 s
wait_for() {
	local what=$1
	shift
	for _ in $(seq 200); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.1
	done
	fail "no $what after 20 s"
	tail -20 "$dir/out"
	return 1
}

fail() {
	echo "FAILED $*"
	failures=$((failures + 1))
}

# run CODE TEXT COMMAND... - the exit code, and TEXT (a pattern) within the output; both in $out
run() {
	local want=$1 text=$2 code
	shift 2
	out=$("$@" 2>&1)
	code=$?
	[ "$code" = "$want" ] || fail "$*: exit $code instead of $want: $out"
	grep -q -e "$text" <<<"$out" || fail "$*: no \"$text\" in: $out"
}

# same WHAT GOT WANT
same() {
	[ "$2" = "$3" ] || fail "$1: got \"$2\", want \"$3\""
}

finish() {
	grep -E 'Sanitizer|runtime error' "$dir"/out "$dir"/*.log 2>/dev/null && fail "sanitizer"
	[ "$failures" = 0 ] && echo "all passed"
	exit $((failures > 0))
}
