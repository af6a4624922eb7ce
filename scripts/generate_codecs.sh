#!/usr/bin/env bash
# Generates the C++ codecs of all FlatBuffers schemas. The results are committed, so that the
# build needs no generator. The linter passes over the generated code.
set -euo pipefail
cd "$(dirname "$0")/.."
for schema in schema/*.fbs; do
  name=$(basename "$schema" .fbs)
  module=${name%%_*}
  folder=include/chicorylink/$module
  flatc --cpp --scoped-enums --filename-suffix _generated -o "$folder" "$schema"
  generated=$folder/${name}_generated.h
  { echo "// NOLINTBEGIN"; cat "$generated"; echo "// NOLINTEND"; } > "$generated.new"
  mv "$generated.new" "$generated"
done
