#!/usr/bin/env bash
# tools/build_progress.sh: the progress lines that ./demo prints during a build.
set -euo pipefail
cd "$(dirname "$0")/../.."
. tools/build_progress.sh
log=$(mktemp)
trap 'rm -f "$log"' EXIT

shown=$(printf '%s\n' '[ 20%] Built target a' '[100%] Built target b' '[ 96%] Built target c' '[100%] Built target d' |
  progress "$log")
[[ -z $shown ]] || { echo "expected no output when nothing is built, got: $shown"; exit 1; }

shown=$(printf '%s\n' '[ 20%] Building CXX object a' '[100%] Linking CXX executable b' '[ 20%] Building CXX object c' \
  '[100%] Linking CXX executable d' | progress "$log")
[[ $shown == $'demo: building, 20%\ndemo: building, 100%' ]] || { echo "unexpected progress: $shown"; exit 1; }
[[ $(wc -l < "$log") == 8 ]] || { echo "the log lacks lines"; exit 1; }
