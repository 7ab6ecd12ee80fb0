# wait_lib - for tests of processes: wait for a condition, count failures
# shellcheck shell=bash
failures=0

fail() {
	echo "FAILED $*"
	failures=$((failures + 1))
}

# wait_for WHAT COMMAND... - until the command succeeds, at most 30 s
wait_for() {
	local what=$1
	shift
	for _ in $(seq "${TRIES:-300}"); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.1
	done
	fail "no $what after 30 s"
	return 1
}
