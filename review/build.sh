#!/bin/sh
# Prepares the stand-ins that the scripts start. They are Python programs that use the standard
# library only, so that nothing is compiled but their byte code, as a check of their syntax.
# The nodes are built by the command of deploy/system.toml.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 - common/standins.py */case.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
PYTHON
