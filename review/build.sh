#!/bin/sh
# The stand-ins are plain JavaScript: building them is no more than checking that they can be parsed.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
test -f ../target/main.cjs || echo "note: target/main.cjs is missing: run the build of deploy/service.toml"
