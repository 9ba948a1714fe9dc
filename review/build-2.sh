#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases of the second review (review/6 to review/10) that are scripts,
# into build-review-2/. The daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/[0-9]*/case_2.cpp; do
  case="$(basename "$(dirname "$source")")"
  g++ -O1 -std=c++20 -pthread -Wall -Wextra -I review/standins-2 -o "build-review-2/case-$case" "$source"
done
# Trials, which are no cases: build-review-2/trial-NAME RECORD_FILE.
for source in review/trials-2/*/trial.cpp; do
  trial="$(basename "$(dirname "$source")")"
  g++ -O1 -std=c++20 -pthread -Wall -Wextra -I review/standins-2 -o "build-review-2/trial-$trial" "$source"
done
