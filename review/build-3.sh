#!/bin/sh
# Build the stand-ins of cases 11 to 15. They need Python alone, so this checks them.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
set -- "$here"/lab3/*.py
for folder in "$here"/11 "$here"/12 "$here"/13 "$here"/14 "$here"/15; do
    [ -f "$folder/case.py" ] && set -- "$@" "$folder/case.py"
done
exec python3 -c '
import sys
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
' "$@"
