#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review into target/review-3. Needs only g++.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O2 -Wall -Wextra -o "target/review-3/$name" "$source"
done
