#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in harness/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/$(basename "$source" .cpp)" "$source"
done
