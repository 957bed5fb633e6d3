#!/usr/bin/env bash
# Installs the Debian packages that the build needs and that are missing.
set -euo pipefail
packages=(g++ cmake ninja-build make pkg-config git ccache clang-format clang-tidy
  libjsonrpccpp-dev libjsoncpp-dev prometheus-cpp-dev libmicrohttpd-dev
  libcurl4-openssl-dev libtclap-dev libspdlog-dev libgtest-dev libgmock-dev
  librapidcheck-dev libtomlplusplus-dev nlohmann-json3-dev libxxhash-dev
  libbenchmark-dev libhttp-parser-dev libb64-dev curl python3)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  echo "Installing: ${missing[*]}"
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends \
    "${missing[@]}" >/dev/null
fi
