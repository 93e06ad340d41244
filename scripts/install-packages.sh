#!/usr/bin/env bash
# Installs the build dependencies from Debian's packages. Does nothing when all are present.
set -euo pipefail
packages=(
  g++ clang cmake ninja-build ccache clang-format clang-tidy libclang-rt-14-dev pkg-config
  libboost-dev libmsgpack-cxx-dev libcxxopts-dev libgoogle-glog-dev libexpected-dev
  nlohmann-json3-dev libcriterion-dev libxxhash-dev libsodium-dev libssl-dev openssl curl
)
missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
export DEBIAN_FRONTEND=noninteractive
$sudo apt-get update -q
$sudo apt-get install -q -y --no-install-recommends "${missing[@]}"
