#!/usr/bin/env bash
# Builds what the scripts start besides the bundle of the deploy file: the stand-ins are plain
# modules without dependencies, so it is enough that each of them parses and that the bundle exists.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/*.mjs; do
  node --check "$file"
done
test -s target/cactusrund.cjs || {
  echo 'target/cactusrund.cjs is missing: run the build of deploy/system.toml first' >&2
  exit 1
}
