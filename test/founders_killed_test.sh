#!/bin/bash
# founders_killed_test.sh - seeds end before the group of the first start is formed, and are back with
# found=false, as after any later start; or just after
# Guards against: the others wait for a founder that does not know that it is one, and no
# configuration is ever accepted.
set -u
cd "$(dirname "$0")/.." || exit 1
API=${API:-26520}
PEER=${PEER:-26521}
bin=${BIN:-$PWD/lavenderlead}
dir=$(mktemp -d)
declare -A pid
. test/wait_lib.sh
. test/join_lib.sh

seeds=127.0.0.1:1,127.0.0.2:1,127.0.0.3:1
has_founders() { [ -s "$dir/data$1/founders" ]; }

# found WHAT KILLED EMPTIED - the first two seeds start; those of KILLED end, and are back when the
# third one has started; those of EMPTIED have lost their disks
found() {
	local what=$1 killed=$2 emptied=$3 i
	for i in 1 2 4 5; do start_control "$i" true $seeds; done
	for i in 1 2; do wait_for "$what: seed $i to know of the founding" has_founders "$i"; done
	for i in $killed; do
		[ "$i" != 3 ] || { start_control 3 true $seeds; wait_for "$what: seed 3" has_founders 3; }
		end "$i"
	done
	for i in $emptied; do rm -rf "$dir/data$i"; done
	case " $killed " in *" 3 "*) ;; *) start_control 3 true $seeds ;; esac
	for i in $killed; do start_control "$i" false $seeds; done
	wait_for "$what: five voters" has_voters 4 5
	wait_for "$what: the first set" put_succeeds 5 0 1 one
	for i in 1 2 3 4 5; do end "$i"; done
	rm -rf "$dir"/data*
}

# found_without_leader - the seeds form the group; the one that leads it loses its disk before the
# others have joined
# Guards against: no entry is committed any more, as the copies that are to survive the loss of disks
# are asked for before there is anything to lose.
found_without_leader() {
	local what="the first leader loses its disk" i
	for i in 1 2 3; do start_control "$i" true $seeds; done
	wait_for "$what: a leader" find_leader
	end "$leader"
	rm -rf "$dir/data$leader"
	start_control "$leader" false $seeds
	for i in 4 5; do start_control "$i" true $seeds; done
	wait_for "$what: five voters" has_voters 4 5
	wait_for "$what: the first set" put_succeeds 5 0 1 one
	for i in 1 2 3 4 5; do end "$i"; done
	rm -rf "$dir"/data*
}

found "one seed is killed" 1 ""
found "another seed is killed" 2 ""
found "two seeds are killed" "1 2" ""
found "all seeds are killed" "1 2 3" ""
found "the first seed loses its disk" 1 1
found "another seed loses its disk" 2 2
found "a seed is killed and another loses its disk" "1 2" 2
found_without_leader
echo "founders_killed_test: $failures failures"
[ "$failures" = 0 ]
