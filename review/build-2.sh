#!/usr/bin/env bash
# Builds the stand-ins and programs of review/4 to review/8 into
# target/review-2/. They use the C++ standard library and sockets alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
builds=()
for case in review/[4-8]/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O2 "$case" review/standin2/*.cpp -lpthread \
    -o "target/review-2/case-$number" &
  builds+=($!)
done
for build in "${builds[@]}"; do
  wait "$build"
done
