#!/bin/sh
# Plays this case once: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs the deploy file's build and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
number=$(basename "$here")
[ -x "target/review-2/case-$number" ] && [ -x target/release/damsonvale ] || { echo "not built"; exit 2; }
exec timeout 115 "target/review-2/case-$number" "$here"
