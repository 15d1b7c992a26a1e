#!/usr/bin/env bash
# Format, lint and generated code. Usage: support/check.sh [FILE...]
# With files, lints just these; the build directory must exist.
set -euo pipefail
cd "$(dirname "$0")/.."
support/generate.py --check
git ls-files --cached --others --exclude-standard '*.h' '*.cc' | xargs clang-format --dry-run --Werror
[ -e build/compile_commands.json ] || cmake -S . -B build -G Ninja >/dev/null
if [ $# -gt 0 ]; then
  sources=("$@")
else
  mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cc' ':!src/generated' ':!src/daemon/*_reader.cc')
fi
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "checks passed"
