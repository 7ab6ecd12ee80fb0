# cmd_lib - functions for process-level tests: starting processes, waiting, checking. At exit only
# the processes started here are signalled, by pid.
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

# start COMMAND... - runs it in the background, with output to $dir/out; its pid is in $!
start() {
	"$@" >>"$dir/out" 2>&1 &
	pids+=($!)
}

# wait_for WHAT COMMAND... - repeats the command until it succeeds; fails after 20 s
wait_for() {
	local what=$1
	shift
	for _ in $(seq 200); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.1
	done
	fail "timed out after 20 s waiting for: $what"
	tail -20 "$dir/out"
	return 1
}

fail() {
	echo "FAILED $*"
	failures=$((failures + 1))
}

# run CODE TEXT COMMAND... - checks the exit code, and that the output, left in $out, matches the
# pattern TEXT
run() {
	local want=$1 text=$2 code
	shift 2
	out=$("$@" 2>&1)
	code=$?
	[ "$code" = "$want" ] || fail "$*: exit code $code, want $want: $out"
	grep -q -e "$text" <<<"$out" || fail "$*: output does not match \"$text\": $out"
}

# expect_equal WHAT GOT WANT
expect_equal() {
	[ "$2" = "$3" ] || fail "$1: got \"$2\", want \"$3\""
}

finish() {
	grep -E 'Sanitizer|runtime error' "$dir"/out "$dir"/*.log 2>/dev/null && fail "sanitizer"
	[ "$failures" = 0 ] && echo "all passed"
	exit $((failures > 0))
}
