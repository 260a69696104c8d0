#!/usr/bin/env bash
# Stand-ins of the cases 6 to 8: Python programs, here and in test/soak. They only have to compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/standins-2/standins.py test/soak/store.py test/soak/wire.py test/soak/checks.py
python3 -m py_compile review/[678]/play.py
