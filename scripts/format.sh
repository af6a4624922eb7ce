#!/usr/bin/env bash
# Formats all C++ sources in place; with --check only reports the files that differ.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
if [ "${1:-}" = "--check" ]; then
  mode=(--dry-run -Werror)
fi
git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' |
  grep -v '_generated.h' | xargs -r clang-format "${mode[@]}"
