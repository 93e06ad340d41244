#!/usr/bin/env bash
# Runs clang-tidy over the sources of the product, in parallel. Usage: scripts/lint.sh [FILE...]
# Passes are cached outside the checkout, keyed by a hash of the file, its headers and the checks.
set -euo pipefail
cd "$(dirname "$0")/.."
# clang-tidy cannot read the precompiled header of g++, so it gets commands without one.
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp'); fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 scripts/lint-file.sh
