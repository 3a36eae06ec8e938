#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rockwind-site ] && [ -x target/review2 ] || { echo "build first: the deploy file's build line and review/build-2.sh" >&2; exit 2; }
timeout -k 5 115 target/review2 lost-store target/rockwind-site review/4/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
