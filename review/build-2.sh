#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into target/review-2.
# Needs only the compiler and packages that deploy/system.toml names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  source=review/$number/case.cc
  [ -f "$source" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -I review/standin-2 \
    "$source" -o "target/review-2/case-$number" -pthread
done
