#!/usr/bin/env bash
# Installs what the build needs, builds and runs all tests. Usage: scripts/test.sh
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build
ctest --test-dir build --output-on-failure -j 4
scripts/build.sh build-sanitize -DHYSSOPPADDLE_SANITIZE=ON -DHYSSOPPADDLE_CORE_ONLY=ON
ctest --test-dir build-sanitize --output-on-failure -j 4
