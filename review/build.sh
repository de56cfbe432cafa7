#!/usr/bin/env bash
# Builds the programs of the cases into target/review. They need the compiler
# and the C++ library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -o "target/review/case-$number" "$source"
done
