#!/bin/sh
# Builds what the scripts of review/11 to review/15 start. The stand-ins are
# Python without dependencies: they are only compiled, to find errors early.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib

for folder in ('harness_3', '11', '12', '13', '14', '15'):
    for path in sorted(pathlib.Path('review', folder).glob('*.py')):
        compile(path.read_text(), str(path), 'exec')
PYTHON
