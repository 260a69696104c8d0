#!/usr/bin/env bash
# Installs the packages, builds, and runs the demonstration: three zones of three entry instances on stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
utils/install-packages.sh > /dev/null
cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache > /dev/null
cmake --build build
EELGRASSCLEAT_BIN="$PWD/build/bin" exec python3 -B test/demo.py "$@"
