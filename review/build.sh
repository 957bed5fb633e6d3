#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review.
# They use the C++ standard library and sockets only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standin)
"${CXX:-c++}" "${flags[@]}" -c review/standin/standin.cpp -o target/review/standin.o
for source in review/[1-5]/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-c++}" "${flags[@]}" "$source" target/review/standin.o -o "target/review/case-$number"
done
