#!/bin/sh
# Builds what the scripts of the third review start besides the daemon: the stand-ins are Python, so that they are only
# checked here.
cd "$(dirname "$0")/.." && exec /usr/bin/python3 - review/deployment_3.py review/small_site.py review/11/case.py review/12/run.py review/13/run.py tests/harness/*.py <<'CHECK'
import pathlib
import sys

for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        compile(pathlib.Path(name).read_text(), name, "exec")
CHECK
