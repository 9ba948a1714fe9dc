#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases of the third review (review/11 to review/15) that are scripts,
# into build-review-3/. The daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
for source in review/1[1-5]/case_3.cpp; do
  [ -e "$source" ] || continue
  case="$(basename "$(dirname "$source")")"
  g++ -O1 -std=c++20 -pthread -Wall -Wextra -I review/standins-3 -o "build-review-3/case-$case" "$source"
done
