#!/usr/bin/env bash
# Configures and builds the project in one folder. Usage: scripts/build.sh FOLDER [cmake options]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$1
shift
launcher=()
if command -v ccache >/dev/null; then
  # A precompiled header is part of the cache key by its content, not by its time stamp.
  export CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
  # Checkouts in other folders share their results.
  export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
  launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
fi
cmake -S . -B "$folder" -G Ninja "${launcher[@]}" "$@" >/dev/null
cmake --build "$folder"
