#!/bin/sh
# Builds the stand-ins of the review's cases: review/N/case.cpp becomes review/build/caseN. Needs g++ alone.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in */case.cpp; do
  number=${source%%/*}
  g++ -std=c++20 -O1 -Wall -Wextra -Icommon -pthread -o "build/case$number" "$source"
done
