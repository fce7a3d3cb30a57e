#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the product. Their stand-ins (review/fleet-2) are Python programs and need no build;
# target/ comes from the build command of the deploy file.
set -e
cd "$(dirname "$0")/.."
test -x target/src/oleanderwickd || { echo "build the product first, with the command in deploy/system.toml" >&2; exit 1; }
exec python3 -c 'import sys; [compile(open(name).read(), name, "exec") for name in sys.argv[1:]]' review/fleet-2/*.py review/[6-9]/*.py
