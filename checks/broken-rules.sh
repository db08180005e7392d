#!/usr/bin/env bash
# Breaks one rule after the other in a copy of the checkout and runs the test that has to notice.
#
# Usage: checks/broken-rules.sh [NAME ...]    all rules of checks/broken-rules without names
# Each patch begins with the arguments of its test and with the colour that is expected.
# Exits with 1 when a patch no longer applies or a colour differs.
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
