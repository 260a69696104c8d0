#!/usr/bin/env bash
# Checks formatting with clang-format, looks for conversions that change texts, then lints with clang-tidy. Usage: utils/check-style.sh [BUILD_DIR]
# Needs a configured build directory for its compile commands.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
git ls-files -z -- '*.cpp' '*.h' ':!schema/generated' | xargs -0 clang-format --dry-run --Werror
# They drop a byte order mark at the beginning, or replace unpaired surrogates: toQString, toUtf8 and readText do neither.
if git grep -nE 'QString::fromStdString|toString\(\)\.toStdString' -- platform lib/Node lib/Wire ':!lib/Wire/QtText.cpp' \
    | grep -v 'peerAddress()\|address\.toString()'; then
    echo "style: use lib/Wire/QtText for texts from outside"
    exit 1
fi
git ls-files -z -- 'lib/*.cpp' 'platform/*.cpp' 'tools/*.cpp' 'benchmarks/*.cpp' | xargs -0 -r python3 utils/lint.py "$build"
echo "style: clean"
