#!/usr/bin/env bash
# Runs the property tests of scheduling on more random histories; meant for manual
# use. Usage: fuzz.sh SEED COUNT. Needs a build in ./build (scripts/build.sh build).
set -euo pipefail
cd "$(dirname "$0")/.."
RC_PARAMS="seed=${1:?seed} max_success=${2:?count}" \
  build/scheduling_tests --test-case='holds.*'
