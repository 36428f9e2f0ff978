#!/usr/bin/env bash
# Builds the stand-ins and programs of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in harness smallfleet; do
  g++ -std=c++20 -O2 -Wall -Wextra -c -o "target/review-2/$name.o" \
    "review/tools-2/$name.cc"
done
for case in review/{6,7,8,9,10}/case.cc; do
  [ -f "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O2 -Wall -Wextra -Ireview/tools-2 -pthread \
    -o "target/review-2/case$number" "$case" target/review-2/harness.o \
    target/review-2/smallfleet.o
done
