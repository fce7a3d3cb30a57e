#!/usr/bin/env bash
# Checks that the stand-ins of the cases 11 to 15 load. They are Python without further packages, so that nothing has to be built.
set -euo pipefail
cd "$(dirname "$0")/fleet-3"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import deployment, runners, store, wire'
