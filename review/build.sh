#!/bin/sh
# Builds every stand-in that a script starts. They are Python and need only its standard library: this checks that
# it is there and that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 -c '
import glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed (tomllib)"
for name in glob.glob("lib/*.py") + glob.glob("[0-9]/*.py"):
    compile(open(name, encoding="utf-8").read(), name, "exec")
'
