#!/bin/bash
# Builds what the scripts of the review start, into review/bin (not committed).
set -e
cd "$(dirname "$0")"
mkdir -p bin
"${CC:-gcc}" -std=gnu11 -O2 -Wall -Wextra -pthread -o bin/standin standin.c
