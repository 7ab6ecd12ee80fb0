#!/bin/bash
# fuzz_ports_test - random input at every port of processes with the sanitizers, for three fixed seeds
set -eu
cd "$(dirname "$0")/.."
SEEDS="1 2 3" LENGTH_S=16 tools/fuzz
