#!/usr/bin/env bash
# Installs missing packages that the build and the tests need.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache pkg-config curl clang-format clang-tidy
  libglib2.0-dev libgrpc++-dev libprotobuf-dev protobuf-compiler
  protobuf-compiler-grpc libboost1.81-dev libsoup-3.0-dev
  libeasyloggingpp-dev doctest-dev librapidcheck-dev nlohmann-json3-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

echo "installing: ${missing[*]}"
apt-get update >/dev/null
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends \
  "${missing[@]}" >/dev/null
