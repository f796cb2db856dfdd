#!/usr/bin/env bash
# Plays the case after the build of the deploy file and review/build-3.sh. Exit codes: 1 the rule was broken,
# 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/galenaslip ] && [ -x target/review-3/standins ] || { echo "build first" >&2; exit 2; }
exec target/review-3/standins stream-lost target/galenaslip review/12/record.txt
