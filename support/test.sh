#!/usr/bin/env bash
# Builds with warnings as errors and runs every test; with CI=true also under sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
known_red=$(grep -E '^[a-z_]+$' KNOWN-RED.txt 2>/dev/null | paste -sd '|' || true)
known_red=${known_red:-none}
[ "$known_red" = none ] || cat KNOWN-RED.txt

build() {
  local dir=$1
  shift
  cmake -S . -B "$dir" -G Ninja "$@" >/dev/null
  cmake --build "$dir"
}

run_tests() {
  local dir=$1
  shift
  ctest --test-dir "$dir" --output-on-failure --exclude-regex "^($known_red)\$" "$@"
}

if [ "${CI:-}" = true ]; then
  build build-asan -DCMAKE_BUILD_TYPE=RelWithDebInfo -DGOLDCRESTWOOD_PROGRAMS=OFF -DGOLDCRESTWOOD_SANITIZE=address,undefined
  run_tests build-asan -j "$(nproc)"
fi
build build
run_tests build --label-exclude process -j "$(nproc)"
# Each process test starts a whole site, so only a few run at once.
run_tests build --label-regex process -j 3
