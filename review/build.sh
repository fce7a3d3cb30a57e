#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs that use the standard library only, so this just compiles them.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m compileall -q standins ./*/case.py
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else "Python 3.11 or newer is needed")'
