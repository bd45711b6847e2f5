#!/usr/bin/env bash
# Prepares what the scripts of the cases start besides the project's own program. Their stand-ins are
# Python without any package, so there is nothing to compile: this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 - 3/case.py <<'PY'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
PY
