#!/usr/bin/env bash
# Builds what the scripts review/6 to review/10 start besides the program that deploy/system.toml builds. Their
# stand-ins are written in Python and need nothing but its standard library, so they are only checked here. None of
# the project's own stand-ins is started.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-2/stand.py {6,7,8,9,10}/case.py <<'PYTHON'
import ast
import sys

if sys.version_info < (3, 8):
    sys.exit("the stand-ins need Python 3.8 or newer")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
    print(path, "can be run")
PYTHON
