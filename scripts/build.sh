#!/usr/bin/env bash
# Configures and builds the workspace. Usage: build.sh [DIRECTORY] [CMAKE ARGS]
set -euo pipefail
cd "$(dirname "$0")/.."
directory="${1:-build}"
shift || true
cmake -S . -B "$directory" -G Ninja "$@" >/dev/null
cmake --build "$directory"
