#!/usr/bin/env bash
# tools/lint: folders may only be removed from the list of exempt folders, and the list may name only existing ones.
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
cd "$copy"
git init -q .
git config user.name test && git config user.email test@example.invalid && git config core.hooksPath /dev/null
mkdir -p tools src/a src/b src/c
touch src/a/a.cpp src/b/b.cpp src/c/c.cpp
cp "$root/tools/lint" tools/
printf '# exempt\nsrc/b\nsrc/c\n' > tools/lint_exempt.txt
git add -A && git commit -qm first
expect() { [ "$1" = "$2" ] || { echo "expected '$2', got '$1'" >&2; exit 1; }; }

expect "$(tools/lint folders)" "src/a"
printf '# exempt\nsrc/c\n' > tools/lint_exempt.txt
expect "$(tools/lint folders | xargs)" "src/a src/b"
git commit -qam second
printf '# exempt\nsrc/a\nsrc/c\n' > tools/lint_exempt.txt
if tools/lint folders > /dev/null 2>&1; then echo "a folder was added to the list" >&2; exit 1; fi
printf '# exempt\nsrc/c\n' > tools/lint_exempt.txt
rm -r src/c
if tools/lint folders > /dev/null 2>&1; then echo "the list names a folder that does not exist" >&2; exit 1; fi
echo "lint: passed"
