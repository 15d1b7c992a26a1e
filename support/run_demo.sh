#!/usr/bin/env bash
# Installs the dependencies, builds, and runs the demo for both sites.
set -euo pipefail
cd "$(dirname "$0")/.."
support/setup.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
for site in saigon ulaanbaatar; do
  /usr/bin/python3 support/demo.py --site "$site"
done
