#!/bin/bash
# soak_test - two short runs with random faults, and all seeds that have failed before
set -eu
cd "$(dirname "$0")/.."
SEEDS="1 2" LENGTH_S=10 tools/soak
