#!/usr/bin/env bash
# The stand-ins of the scripts in this review are Python programs: the project's own (standins/users_platform.py), that of the
# first review (standins/ here) and support-2/. Nothing is compiled; this checks that they can be loaded, and that the build
# of the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
python3 -B - <<'END'
import sys
if sys.version_info < (3, 11):
    sys.exit("the scripts need Python 3.11 (tomllib)")
sys.path[:0] = ["review/support-2", "review/standins"]
import deployment
import platform_standin
END
[ -x target/chivelever-edge ] || { echo "target/chivelever-edge is missing: run the build of deploy/system.toml" >&2; exit 1; }
