#!/bin/sh
# Prepares the stand-ins of the cases 4 to 8. They are Python without further packages, so nothing is compiled:
# this checks that the interpreter that the project's own tests use is there and that the stand-ins load.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
python3 - "$here/lib-2" <<'PY'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or later (Debian 12) is needed"
sys.dont_write_bytecode = True
sys.path.insert(0, sys.argv[1])
import standins
message = {"a": [1, -5, 2.5, None, True, "x" * 40, 1 << 40], "b": {str(i): i for i in range(40)}}
assert standins.unpack(standins.pack(message)) == message
print("stand-ins of the cases 4 to 8: ready")
PY
