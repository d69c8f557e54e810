#!/usr/bin/env bash
# Prepares the stand-ins of review/11 to review/15. They are Python programs that
# use only the standard library (python3 comes with libglib2.0-dev, which the
# deploy file lists), so there is nothing to compile; this checks that they load.
# Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x target/carobrilld ] || { echo "target/carobrilld is missing" >&2; exit 1; }
for file in review/standin-3/*.py review/1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path.insert(0, "review/standin-3")
import standin
'
echo "the stand-ins load"
