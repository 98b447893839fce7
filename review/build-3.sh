#!/bin/sh
# Builds what the scripts of review/11 and review/12 start besides the programs of the deploy file: nothing. Their
# stand-ins are Python programs that use the standard library alone. This checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 - stand-ins-3/*.py 11/case.py 12/case.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
