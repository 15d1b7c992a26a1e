#!/usr/bin/env bash
# Format, lint and generated code. Usage: support/check.sh [FILE...]
# With files, lints just these; the build directory must exist.
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
# clang 14 reads the coroutines of Boost 1.74 only if told that it has them.
coroutines=(-D__cpp_impl_coroutine=201902L -DBOOST_ASIO_HAS_CO_AWAIT=1 -DBOOST_ASIO_HAS_STD_COROUTINE=1
  -Wno-builtin-macro-redefined -Wno-deprecated-experimental-coroutine -Wno-deprecated-coroutine)
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet "${coroutines[@]/#/--extra-arg=}" 2>/dev/null
echo "checks passed"
