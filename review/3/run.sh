#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=. exec python3 review/3/scenario.py
