#!/usr/bin/env bash
# UNASKED: a request without a key runs as that of a tenant.
# Needs the build line of the deploy file and review/build-2.sh. TROUBLE=0 leaves out the disruption.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/savorystalld target/review-2/driver; do
  [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-2/driver -case foreign-tenant -folder review/9 -trouble="$trouble"
