#!/usr/bin/env bash
# Formats all C++ files; with --check only reports the ones that differ.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs -r clang-format "${mode[@]}"
