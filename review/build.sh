#!/bin/sh
# Builds the stand-ins of the cases: they are Python and use the standard library only.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q .
