#!/usr/bin/env bash
# The stand-ins of the cases are Python modules: review/standins, and test/soak of the project. Nothing is compiled;
# this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=test:review python3 -c 'import standins.deployment'
