#!/usr/bin/env bash
# Checks generated code, format and lint. Usage: support/check.sh [FILE...]
# With files, lints only those; configures build/ if it has no compile_commands.json.
set -euo pipefail
cd "$(dirname "$0")/.."
support/generate.py --check
support/ablation --check
git ls-files --cached --others --exclude-standard '*.h' '*.cc' | xargs clang-format --dry-run --Werror
[ -e build/compile_commands.json ] || cmake -S . -B build -G Ninja >/dev/null
if [ $# -gt 0 ]; then
  sources=("$@")
else
  mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cc' ':!src/generated' ':!src/daemon/*_reader.cc')
fi
# clang 14 compiles the coroutines of Boost 1.74 only with these feature macros.
coroutine_flags=(-D__cpp_impl_coroutine=201902L -DBOOST_ASIO_HAS_CO_AWAIT=1 -DBOOST_ASIO_HAS_STD_COROUTINE=1
  -Wno-builtin-macro-redefined -Wno-deprecated-experimental-coroutine -Wno-deprecated-coroutine)
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet "${coroutine_flags[@]/#/--extra-arg=}" 2>/dev/null
echo "checks passed"
