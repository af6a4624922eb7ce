#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each for a bounded number of seeded inputs, which start
# from the files of fuzz/corpus/NAME for the target fuzz_NAME.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${FUZZ_RUNS:-20000}
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCHICORYLINK_FUZZ=ON \
  -DCHICORYLINK_SANITIZE=address >/dev/null
cmake --build build-fuzz -j "$(nproc)" --target fuzz_targets
for target in build-fuzz/fuzz/fuzz_*; do
  [ -f "$target" ] && [ -x "$target" ] || continue
  echo "$target: seed 1, $runs runs"
  found=$(mktemp -d)
  folders=("$found")
  corpus=fuzz/corpus/$(basename "$target" | sed 's/^fuzz_//')
  [ -d "$corpus" ] && folders+=("$corpus")
  "$target" -seed=1 -runs="$runs" -max_len=4096 -verbosity=0 -print_final_stats=0 "${folders[@]}"
  rm -rf "$found"
done
