#!/usr/bin/env bash
# Exits with 1 if results that were read disappear, 0 if they stay, 2 if the case couldn't run.
exec /usr/bin/python3 -B "$(dirname "$0")/case.py"
