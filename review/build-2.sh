#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start. All of
# them are Python of this repository, so it only checks that they compile.
set -eu
cd "$(dirname "$0")/.."
/usr/bin/python3 - review/small_site.py review/sheet_site.py review/[6-9]/run.py review/10/*.py tests/harness/*.py <<'P'
import pathlib
import sys
for path in sys.argv[1:]:
    if pathlib.Path(path).exists():
        compile(pathlib.Path(path).read_text(encoding="utf-8"), path, "exec")
P
