#!/usr/bin/env bash
# Builds the programs of the cases and their stand-ins, into target/review.
# Needs only what the deploy file declares.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
for source in review/harness/*.cpp; do
  object=target/review/harness-$(basename "$source" .cpp).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for source in review/[1-5]/main.cpp; do
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "target/review/case-$name" \
    -lboost_json &
done
wait
for source in review/[1-5]/main.cpp; do
  test -x "target/review/case-$(basename "$(dirname "$source")")"
done
