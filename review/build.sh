#!/bin/sh
# Builds the stand-ins of the cases: they need nothing but Python's standard library.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q lib */case.py
