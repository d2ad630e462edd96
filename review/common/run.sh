#!/bin/sh
# Runs one case: run.sh FOLDER. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
program="review/build/case$(basename "$folder")"
if [ ! -x build/streampick_router ] || [ ! -x "$program" ]; then
  echo "build the deploy file and review/build.sh first" >&2
  exit 2
fi
scratch=$(mktemp -d) || exit 2
REVIEW_TMP=$scratch timeout -k 2 110 "$program" "$folder/record.txt"
code=$?
rm -rf "$scratch"
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
