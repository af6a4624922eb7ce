#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the program of the deploy file. Their
# stand-ins are Python 3 with its standard library, so there is nothing to compile: this checks that
# they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import pathlib

for path in sorted(pathlib.Path(".").glob("support-2/*.py")) + [
        path for number in range(6, 11) for path in sorted(pathlib.Path(str(number)).glob("*.py"))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("checked", path)
CHECK
