#!/usr/bin/env bash
# Builds and tests with the address and undefined-behaviour sanitizers, then the concurrent
# modules with the thread sanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
launcher=()
command -v ccache >/dev/null && launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)

build_and_test() {
  local folder=$1 sanitizers=$2
  shift 2
  cmake -S . -B "$folder" -G Ninja "${launcher[@]}" -DCMAKE_BUILD_TYPE=Debug \
    -DCHICORYLINK_SANITIZE="$sanitizers" >/dev/null
  cmake --build "$folder" -j "$(nproc)"
  ctest --test-dir "$folder" --output-on-failure -j "$(nproc)" "$@"
}

build_and_test build-asan address,undefined
build_and_test build-tsan thread -R '^(base|budget|config|wire|gateway|process)'
