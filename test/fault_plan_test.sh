#!/bin/bash
# fault_plan_test - a run's series of faults depends on its seed alone
# Needs no process of lavenderlead.
set -u
cd "$(dirname "$0")/.." || exit 1
failures=0

# expect WHAT COMMAND... - counts a failure unless the command succeeds
expect() {
	local what=$1
	shift
	"$@" && return
	echo "FAILED $what"
	failures=$((failures + 1))
}

plan() { SEED=$1 NODES=${2:-5} LENGTH_S=${3:-60} tools/fault-plan; }
same() { [ "$1" = "$2" ]; }
differ() { [ "$1" != "$2" ]; }

# has KIND PATTERN - some line of the first seeds matches
has() { grep -Eq "$2" <<<"$plans" || { echo "no $1" && false; }; }

# is_sorted PLAN - the times don't decrease, and each line has a target and an action
is_sorted() { awk '$1 < last || NF < 3 { exit 1 } { last = $1 }' <<<"$1"; }

for seed in 1 2 77; do
	expect "seed $seed gives the same plan again" same "$(plan $seed)" "$(plan $seed)"
	expect "seed $seed gives the same plan whatever ran before" same "$(plan $seed)" \
		"$(RANDOM=5 && : $RANDOM "$(plan 3)" && plan $seed)"
	expect "the plan of seed $seed is sorted" is_sorted "$(plan $seed)"
done
expect "another seed gives another plan" differ "$(plan 1)" "$(plan 2)"

plans=$(for seed in 1 2 3 4 5 6 7 8 9 10; do plan $seed; done)
for kind in "node[0-9]+ "{KILL,TERM,HUP,STOP,CONT,start,"clock -?[0-9]"} \
	"control[0-9] "{KILL,TERM,STOP,"disk full","disk failing","disk ok","clock -?[0-9]"} \
	"upstream[0-9]+ "{KILL,TERM,STOP,start} \
	"link-"{node,control}"[0-9] "{cut,silent,silent-up,silent-down,hold} \
	"link-"{node,control}"[0-9] "{"delay [1-9]","delay 0",reset,break,pass}; do
	expect "a fault of each kind is planned: $kind" has "$kind" " $kind"
done
# Each pause, cut, delay and disk ends within the plan.
for seed in 1 2 3 4 5 6 7 8 9 10; do
	left=$(plan $seed | awk '
		$3 == "STOP" { s[$2] = 1 } $3 == "CONT" || $3 == "KILL" { delete s[$2] }
		$2 ~ /^link/ && $3 != "reset" && $3 != "break" { l[$2 $4] = 1 }
		$2 ~ /^link/ && ($3 == "pass" || $4 == "0") { for (k in l) if (index(k, $2) == 1) delete l[k] }
		$3 == "disk" && $4 != "ok" { d[$2] = 1 } $4 == "ok" { delete d[$2] }
		END { for (k in s) print k; for (k in l) print k; for (k in d) print k }')
	expect "all faults of seed $seed end: $left" same "$left" ""
done
[ $failures = 0 ] && echo "ok"
exit $failures
