#!/usr/bin/env bash
# Installs the build dependencies, builds, and runs all tests, those of the core also with sanitizers.
# Usage: scripts/test.sh
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build
ctest --test-dir build --output-on-failure -j 4
scripts/build.sh build-sanitize -DHYSSOPPADDLE_SANITIZE=ON -DHYSSOPPADDLE_CORE_ONLY=ON
ctest --test-dir build-sanitize --output-on-failure -j 4
