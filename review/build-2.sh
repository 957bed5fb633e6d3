#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Needs the
# packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
  program=target/review-2/$(basename "$source" .cpp)
  if [ "$program" -nt "$source" ] && [ "$program" -nt review/standin-2/kit.hpp ]; then
    continue
  fi
  c++ -std=c++20 -O2 -Wall -pthread "$source" -o "$program"
done
