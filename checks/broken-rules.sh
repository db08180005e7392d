#!/usr/bin/env bash
# Applies each patch, which breaks one rule, to a copy of the checkout and runs the test that must detect it.
#
# Usage: checks/broken-rules.sh [NAME ...]    without names: all patches in checks/broken-rules
# Each patch starts with the arguments of its test (test:) and the expected result (expect: red or green).
# Exits with 1 if a patch does not apply or a result differs from the expected one.
set -euo pipefail
cd "$(dirname "$0")/.."
top=$PWD
copy=$top/target/broken-rules
git worktree add --force --detach "$copy" HEAD >/dev/null 2>&1 || git -C "$copy" checkout -q --detach "$(git rev-parse HEAD)"
names=("$@")
if [ ${#names[@]} -eq 0 ]; then
    for file in checks/broken-rules/*.patch; do names+=("$(basename "$file" .patch)"); done
fi
wrong=0
for name in "${names[@]}"; do
    patch=$top/checks/broken-rules/$name.patch
    read -ra arguments <<<"$(sed -n 's/^test: //p' "$patch" | head -1)"
    expected=$(sed -n 's/^expect: //p' "$patch" | head -1)
    git -C "$copy" checkout -q -- .
    if ! sed 1,2d "$patch" | git -C "$copy" apply -; then
        echo "$name: does not apply"
        wrong=1
        continue
    fi
    colour=red
    if (cd "$copy" && cargo test -q -p lovageridge "${arguments[@]}" >"$copy.log" 2>&1); then colour=green; fi
    if grep -q '^error.*could not compile' "$copy.log"; then colour='not built'; fi
    echo "$name: $colour, expected $expected"
    [ "$colour" = "$expected" ] || wrong=1
done
git -C "$copy" checkout -q -- .
exit $wrong
