#!/usr/bin/env bash
# Runs clang-tidy on one file unless the same file, headers, checks and tool have passed before.
set -euo pipefail
file=$1
cache=${HYSSOPPADDLE_LINT_CACHE:-$HOME/.cache/hyssoppaddle-lint}
mkdir -p "$cache"
# The headers of this repository that the file includes, directly or not.
dependencies=$(g++ -std=c++20 -include utility -Isrc -Iinclude -I. -MM "$file")
mapfile -t headers < <(tr -d '\\' <<<"$dependencies" | tr ' ' '\n' | grep -E '^(src|include|platform)/.*\.h$' | sort -u)
key=$({ clang-tidy --version; cat .clang-tidy "$file" "${headers[@]}"; } | sha256sum | cut -d' ' -f1)
[ -e "$cache/$key" ] && exit 0
if ! output=$(clang-tidy -p build-lint --quiet "$file" 2>/dev/null); then
  printf '%s\n' "$output"
  exit 1
fi
touch "$cache/$key"
