#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wasabihook-gateway ] && [ -x target/review-2/quota ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-2/quota "$folder" review/7/record.txt kill
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
