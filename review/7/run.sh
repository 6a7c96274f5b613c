#!/usr/bin/env bash
# 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. python3 -c "import harness_2.harness" || exit 2
exec python3 case.py .
