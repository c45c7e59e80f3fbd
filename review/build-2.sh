#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are Python, of the standard library alone, so nothing is compiled:
# this checks that the interpreter is there and that all files can be read by it.
set -eu
cd "$(dirname "$0")"
python3 - lib-2/*.py [6-9]/case.py 10/case.py <<'CHECK'
import ast, os, sys
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11 or newer"
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            ast.parse(file.read(), path)
print("the stand-ins of the cases 6 to 10 are ready")
CHECK
