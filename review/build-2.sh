#!/bin/bash
# build-2.sh - builds the stand-ins of the cases 6 to 10
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
gcc -std=gnu11 -O2 -Wall -Wextra -pthread -o target/review-2/standin-2 review/standin-2.c
