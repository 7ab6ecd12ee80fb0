#!/bin/bash
# layers_test - check-layers reports an include that violates the layering, and nothing else
# shellcheck source=test/cmd_lib.sh
. "$(dirname "$0")/cmd_lib.sh"
run 0 "" tools/check-layers
for d in lib kernel wire node control cmd; do
	mkdir "$dir/$d"
	printf '#include "lib/err.h"\n#include <stdio.h>\n' >"$dir/$d/a.c"
	echo >"$dir/$d/a.h"
done
run 0 "" tools/check-layers "$dir"
for pair in lib:kernel kernel:wire node:control control:node node:cmd wire:node cmd:test; do
	echo "# include \"${pair#*:}/a.h\"" >"$dir/${pair%:*}/b.c"
	run 1 "${pair%:*}/b.c:1: ${pair%:*} must not include \"${pair#*:}/a.h\"" \
		tools/check-layers "$dir"
	rm "$dir/${pair%:*}/b.c"
done
# Guards against: a text from outside that is parsed without a bound on its nesting.
for call in json_loads json_loadb json_load_file; do
	echo "	obj = $call(text, 0, NULL);" >"$dir/node/b.c"
	run 1 "node/b.c:1: only lib/json_text.c may call jansson's parser" tools/check-layers "$dir"
	rm "$dir/node/b.c"
done
finish
