#!/bin/sh
# Plays this case once: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run or was stopped. TROUBLE=0
# leaves the disruption out. Needs the deploy file's build and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
case_program="target/review-2/case-$(basename "$here")"
[ -x "$case_program" ] && [ -x target/release/damsonvale ] || { echo "not built"; exit 2; }
folder=$(mktemp -d) || exit 2
TMPDIR=$folder timeout 115 "$case_program" "$here" &
pid=$!
trap 'kill "$pid" 2>/dev/null' TERM INT HUP
wait "$pid"
code=$?
while kill -0 "$pid" 2>/dev/null; do
    wait "$pid"
    code=2
done
rm -rf "$folder"
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
