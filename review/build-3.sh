#!/bin/bash
# build-3.sh - builds the stand-ins of the third review into review/bin/
set -eu
cd "$(dirname "$0")"
mkdir -p bin
${CC:-cc} -std=gnu11 -O2 -Wall -Wextra -Werror -pthread -o bin/standin-3 standin-3.c
