#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/standin-2/*.cpp; do
  object=build-review-2/$(basename "$source" .cpp).o
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -c "$source" -o "$object" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
"${CXX:-g++}" build-review-2/*.o -pthread -o build-review-2/case_runner
