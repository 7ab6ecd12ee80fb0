#!/bin/bash
# soak_test - a short run of random faults, and all seeds that ever failed
set -eu
cd "$(dirname "$0")/.."
SEEDS=1 LENGTH_S=5 tools/soak
