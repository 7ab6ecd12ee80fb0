# wait_lib - functions for process-level tests: waiting for a condition, counting failures
# shellcheck shell=bash
failures=0

fail() {
	echo "FAILED $*"
	failures=$((failures + 1))
}

# wait_for WHAT COMMAND... - repeats the command until it succeeds; fails after 30 s
wait_for() {
	local what=$1
	shift
	for _ in $(seq "${TRIES:-300}"); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.1
	done
	fail "timed out after 30 s waiting for: $what"
	return 1
}
