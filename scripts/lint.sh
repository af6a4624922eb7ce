#!/usr/bin/env bash
# Checks the format of all sources and runs clang-tidy on them; any finding is an error.
# Usage: lint.sh BUILD_DIR [PATH_PATTERN]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
pattern=${2:-.}
scripts/format.sh --check
scripts/check_platform_names.sh
git ls-files --cached --others --exclude-standard '*.cpp' | grep -v '^fuzz/' | grep -E "$pattern" |
  xargs -r scripts/lint_files.py "$build"
