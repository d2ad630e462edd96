#!/bin/sh
# Starts one case; each case's run.sh calls this with its number. Needs the build of the deploy file and
# review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
program=$root/build-review-2/case-$1
for needed in "$root/build/streampick_router" "$program"; do
  if [ ! -x "$needed" ]; then
    echo "missing: $needed" >&2
    exit 2
  fi
done
temporary=$(mktemp -d) || exit 2
child=
trap '[ -n "$child" ] && kill "$child" 2>/dev/null; rm -rf "$temporary"; exit 2' INT TERM HUP
"$program" "$root" "$root/review/$1" "$temporary" &
child=$!
wait "$child"
result=$?
rm -rf "$temporary"
case $result in
  0 | 1) exit $result ;;
  *) exit 2 ;;
esac
