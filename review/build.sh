#!/bin/sh
# Builds the stand-ins of the cases: plain Python without dependencies.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review/stand_ins review/*/scenario.py
