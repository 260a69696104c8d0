#!/usr/bin/env bash
# Prepares what the scripts of the cases 11 to 15 start beside the build of the deploy file. Their stand-ins are Python programs
# of the standard library (review/standins-3, test/soak), so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=test:review/standins-3 python3 -c 'import lab'
