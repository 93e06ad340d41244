#!/usr/bin/env bash
# Runs clang-tidy on one file unless the same file, headers and checks have passed before.
set -euo pipefail
file=$1
cache=${HYSSOPPADDLE_LINT_CACHE:-.cache/lint}
mkdir -p "$cache"
headers=$(git ls-files -co --exclude-standard 'src/*.h' 'include/*.h' 'platform/*.h' | sort)
key=$(cat .clang-tidy "$file" $headers | sha256sum | cut -d' ' -f1)
[ -e "$cache/$key" ] && exit 0
if ! output=$(clang-tidy -p build-lint --quiet "$file" 2>/dev/null); then
  printf '%s\n' "$output"
  exit 1
fi
touch "$cache/$key"
