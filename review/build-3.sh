#!/usr/bin/env bash
# Builds what the scripts of the third review start besides the build of the deploy file: all of their stand-ins,
# the project's own included, are Python programs, which are only checked here.
set -eu
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for source in standins/users_platform.py review/standins/*.py review/support-3/*.py review/1[1-5]/*.py; do
  [ -f "$source" ] || continue
  python3 - "$source" "$out/code" <<'END'
import py_compile
import sys

py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)
END
done
