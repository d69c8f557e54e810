#!/usr/bin/env bash
# Checks the format and lints the sources. Usage: lint.sh [FILES]; with no
# files, all sources are checked. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard 'packages/*.cc' 'packages/*.h' 'tests/*.cc' 'tests/*.h' 'platform/*.cc' 'platform/*.h' |
    grep -v '\.pb\.')
fi
clang-format --dry-run --Werror "${files[@]}"

# Members carry no mark, which the naming check alone does not enforce.
if grep -nE '^ +[A-Za-z_:<>, *&]+ [a-z][a-z0-9_]*_( =.*|\{.*)?;' "${files[@]}"; then
  echo "members must not end in an underscore" >&2
  exit 1
fi
printf '%s\n' "${files[@]}" | grep '\.cc$' |
  xargs -r -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
