#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each for a bounded number of seeded inputs.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${FUZZ_RUNS:-20000}
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCHICORYLINK_FUZZ=ON \
  -DCHICORYLINK_SANITIZE=address >/dev/null
cmake --build build-fuzz -j "$(nproc)" --target fuzz_targets
for target in build-fuzz/fuzz/fuzz_*; do
  [ -f "$target" ] && [ -x "$target" ] || continue
  echo "$target: seed 1, $runs runs"
  "$target" -seed=1 -runs="$runs" -max_len=4096 -verbosity=0 -print_final_stats=0
done
