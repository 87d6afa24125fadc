#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are Python programs without dependencies: compiling them checks
# that this machine's Python can run them.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed" >&2; exit 1; }
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m compileall -q standins [1-5]
