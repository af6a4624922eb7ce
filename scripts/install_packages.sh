#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the benchmarks need.
# Does nothing when all of them are present. Needs root for the installation.
set -euo pipefail

packages=(
  ccache
  clang
  clang-format
  clang-tidy
  cmake
  curl
  flatbuffers-compiler
  g++
  git
  gnuplot-nox
  libbenchmark-dev
  libboost1.81-dev
  libclang-rt-14-dev
  libcli11-dev
  libcurl4-openssl-dev
  libflatbuffers-dev
  libfmt-dev
  libgmock-dev
  libgtest-dev
  liblua5.4-dev
  libmicrohttpd-dev
  librapidcheck-dev
  libssl-dev
  libxxhash-dev
  make
  ninja-build
  nlohmann-json3-dev
  openssl
  python3
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed'; then
    missing+=("$package")
  fi
done

if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi

export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y --no-install-recommends "${missing[@]}"
