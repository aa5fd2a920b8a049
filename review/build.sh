#!/bin/sh
# Builds the stand-ins of the cases: they are Python modules, so that "building" checks that they compile.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is not installed"; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 - lib/*.py [0-9]*/*.py <<'END'
import sys
for name in sys.argv[1:]:
    with open(name) as source:
        compile(source.read(), name, "exec")
END
