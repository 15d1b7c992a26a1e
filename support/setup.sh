#!/usr/bin/env bash
# Installs the Debian packages needed by the build, the tests and the checks.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang clang-format clang-tidy python3 python3-jinja2 pkg-config
  libcivetweb-dev libcpp-httplib-dev libmsgpack-cxx-dev libboost-dev libboost-program-options-dev
  libtomlplusplus-dev libexpected-dev libgoogle-glog-dev nlohmann-json3-dev libxxhash-dev libssl-dev zlib1g-dev
  catch2 libtrompeloeil-cpp-dev librapidcheck-dev
)
if ! dpkg-query -W -f='${Status}\n' "${packages[@]}" 2>/dev/null | grep -qv '^install ok installed$' \
  && dpkg-query -W "${packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -q
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q "${packages[@]}"
