#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start. All are Python programs
# (review/deployment.py and tests/harness) and need no build; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
/usr/bin/python3 -B -c 'import sys; sys.path.insert(0, "."); import deployment'
