#!/bin/sh
# The whole test run: lint, types, import contracts, tests (the line limits and a start of the deploy file's sim
# among them).
set -eu
cd "$(dirname "$0")/.."
python -m ruff check .
python -m ruff format --check .
python -m mypy
lint-imports --no-cache
# what waits in real time waits beside other tests; a file stays with one worker
python -m pytest -n 4 --dist loadfile
