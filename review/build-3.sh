#!/usr/bin/env bash
# Builds the programs of the third review's cases into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
  name=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++20 -O2 -pthread -I review/standin-3 "$source" \
    -o "target/review-3/case-$name"
done
