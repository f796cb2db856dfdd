#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in galenaslip review-standins-2; do
  [ -x "target/$program" ] || { echo "target/$program is missing: build the deploy file, then review/build-2.sh"; exit 2; }
done
exec target/review-standins-2 part-far-back review/9
