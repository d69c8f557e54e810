#!/usr/bin/env bash
# Checks the formatting and lints the sources. Usage: lint.sh [FILES]; without
# arguments, checks all sources. Needs a configured build directory.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard 'packages/*.cc' 'packages/*.h' 'tests/*.cc' 'tests/*.h' 'platform/*.cc' 'platform/*.h' |
    grep -v '\.pb\.')
fi
clang-format --dry-run --Werror "${files[@]}"

# The naming check of clang-tidy does not reject trailing underscores in members.
if grep -nE '^ +[A-Za-z_:<>, *&]+ [a-z][a-z0-9_]*_( =.*|\{.*)?;' "${files[@]}"; then
  echo "members must not end in an underscore" >&2
  exit 1
fi
printf '%s\n' "${files[@]}" | grep '\.cc$' |
  xargs -r -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
