#!/bin/bash
# soak_test - a short run with random faults, and all seeds that have failed before
set -eu
cd "$(dirname "$0")/.."
SEEDS=1 LENGTH_S=5 tools/soak
