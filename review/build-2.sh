#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start. They are Python programs under
# review/common-2, so nothing is compiled: this only checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - common-2/*.py [4-8]/case.py <<'CHECK'
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
CHECK
