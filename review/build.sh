#!/bin/sh
# Builds the stand-ins of the cases: they are Python of the standard library, so this compiles them to find errors.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python - review/rig.py review/*/case.py <<'END'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text(encoding="utf-8"), name, "exec")
END
