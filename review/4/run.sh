#!/usr/bin/env bash
# Exits with 1 if a start brought a runner over its capacity, 0 if none did, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../../test:.. exec python3 scenario.py
