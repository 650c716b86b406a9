#!/usr/bin/env bash
# Prepares the scripts of review/6 to review/10. Their stand-ins (review/lib-2) are plain JavaScript and
# need no build: this checks that each file parses, and that the build of the deploy file has been run.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/{6,7,8,9,10}/case.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
[ -f target/cactusrund.cjs ] || { echo 'run the build of deploy/system.toml first' >&2; exit 1; }
