#!/bin/sh
# Builds what the cases 6 to 10 start beside the deploy file's sidecar: the daemon, by README.md's command.
# The stand-ins are Python files of this folder and need no build.
set -eu
cd "$(dirname "$0")/.."
.venv-demo/bin/plovertrail --help > /dev/null 2>&1 || python3 -m venv --clear .venv-demo
.venv-demo/bin/pip install -q --disable-pip-version-check '.[daemon]'
