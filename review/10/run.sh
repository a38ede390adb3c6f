#!/bin/sh
# Runs this case; TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
exec ../../.venv/bin/python -B case.py
