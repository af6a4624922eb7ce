#!/usr/bin/env bash
# Runs all benchmark programs of a build folder; prints one JSON line a figure.
# Usage: bench.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
for program in "$build"/*_benchmark; do
  [ -x "$program" ] || continue
  "$program" --benchmark_format=json 2>/dev/null |
    python3 scripts/benchmark_lines.py "$(basename "$program")"
done
CHICORYLINK_BINARIES="$build" "$build/process_tests/gateway_figures"
CHICORYLINK_BINARIES="$build" "$build/process_tests/relay_figures"
