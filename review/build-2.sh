#!/usr/bin/env bash
# The stand-ins of the second review are Python files (standard library only):
# nothing is compiled, each file is parsed once.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standins-2/*.py {6,7,8,9,10}/*.py <<'PY'
import ast
import os
import sys
for name in sys.argv[1:]:
    if os.path.exists(name):
        with open(name) as file:
            ast.parse(file.read(), name)
PY
