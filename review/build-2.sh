#!/bin/sh
# Check that the stand-ins of the cases 6 to 10 can be started: they are Python programs
# that need the standard library alone, so there is nothing to compile.
set -e
cd "$(dirname "$0")"
python3 - lab2/*.py [0-9]*/case.py <<'PROGRAM'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or later"
for path in sys.argv[1:]:
    with open(path, "rb") as file:
        compile(file.read(), path, "exec")
PROGRAM
