#!/usr/bin/env bash
# The stand-ins of this review are Python programs of the standard library; there is nothing to
# compile. This checks that each of them can be read by the Python of the machine.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common/*.py [0-9]/*.py observed/*.py <<'CHECK'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
print(f"{len(sys.argv) - 1} programs can be read")
CHECK
