#!/usr/bin/env bash
# Builds the stand-in of the cases into build-review/, which git ignores.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
g++ -std=c++20 -O1 -Wall -Wextra -o build-review/standin review/standin/Main.cpp -pthread
