#!/bin/bash
# large_mesh_test.sh - a small form of tools/large-mesh: a set that takes a node's link a second, a
# control process that misses changes, a loss of power of all processes, two emptied folders
cd "$(dirname "$0")/.." || exit 1
NODES=8 ROUTES=1000 RATE=50000 CUT_S=2 CALM_S=2 AFTER_S=2 BASE=${BASE:-27600} exec tools/large-mesh
