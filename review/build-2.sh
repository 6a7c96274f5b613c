#!/usr/bin/env bash
# Build the stand-ins of the cases 6 to 10. They need Python and its standard
# library; the entry is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness_2/harness.py [6-9]/case.py 10/case.py; do
  if [ -f "$file" ]; then
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
  fi
done
