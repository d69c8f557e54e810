#!/usr/bin/env bash
# Builds the stand-ins of all cases that have a script, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -Wall -Wextra -I review/standin "$source" \
    -o "target/review/case-$number" -pthread
done
