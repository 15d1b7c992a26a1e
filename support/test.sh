#!/usr/bin/env bash
# Builds with warnings as errors and runs every test; with CI=true also under sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
known_red=$(grep -E '^[a-z_]+$' KNOWN-RED.txt 2>/dev/null | paste -sd '|' || true)
known_red=${known_red:-none}
[ "$known_red" = none ] || cat KNOWN-RED.txt
build_and_test() {
  local dir=$1
  shift
  cmake -S . -B "$dir" -G Ninja "$@" >/dev/null
  cmake --build "$dir"
  ctest --test-dir "$dir" --output-on-failure -j "$(nproc)" --exclude-regex "^($known_red)\$"
}
if [ "${CI:-}" = true ]; then
  build_and_test build-asan -DCMAKE_BUILD_TYPE=RelWithDebInfo -DGOLDCRESTWOOD_PROGRAMS=OFF -DGOLDCRESTWOOD_SANITIZE=address,undefined
fi
build_and_test build
