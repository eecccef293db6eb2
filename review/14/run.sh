#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/samphiredeck ] && [ -x target/review-3/standins ] || { echo "not built"; exit 2; }
exec target/review-3/standins case heads-allowed-later review/14
