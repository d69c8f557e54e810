#!/usr/bin/env bash
# Runs the random-history properties of scheduling for longer, by hand.
# Usage: fuzz.sh SEED COUNT. Needs a build folder (scripts/build.sh build).
set -euo pipefail
cd "$(dirname "$0")/.."
RC_PARAMS="seed=${1:?seed} max_success=${2:?count}" \
  build/scheduling_tests --test-case='holds.*'
