#!/usr/bin/env bash
# Plays the case. Build the deploy file and run review/build-2.sh first. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-8 ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-2/case-8
