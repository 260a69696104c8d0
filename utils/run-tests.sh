#!/usr/bin/env bash
# Builds everything and runs all tests. Usage: utils/run-tests.sh [BUILD_DIR [SANITIZERS TESTS]]
# With SANITIZERS (as for -fsanitize) the tests run whose names match the regular expression TESTS. Tests that KNOWN-RED.txt names (lines
# "test: NAME") are run and shown first, and do not decide; the verdict is that of the last ctest run.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
sanitizers=${2:-}
launcher=()
if command -v ccache > /dev/null; then
    # Objects of another checkout of the same sources are used, too; only their debug information names that one.
    export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
    launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
fi
cmake -S . -B "$build" -G Ninja -DEELGRASSCLEAT_SANITIZE="$sanitizers" "${launcher[@]}" > /dev/null
cmake --build "$build"

select=()
if [ -n "$sanitizers" ]; then
    select=(-R "$3")
fi
known=""
if [ -f KNOWN-RED.txt ]; then
    known=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|')
fi
if [ -n "$known" ] && [ -z "$sanitizers" ]; then
    echo "tests that are known to fail (KNOWN-RED.txt):"
    ctest --test-dir "$build" -R "^($known)\$" || true
    select+=(-E "^($known)\$")
fi
ctest --test-dir "$build" --output-on-failure -j 4 "${select[@]}"
