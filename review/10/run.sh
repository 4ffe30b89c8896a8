#!/usr/bin/env bash
# A new version adds a host whose name has capitals.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mtmesh ] && [ -x target/review-2/harness ] || { echo "run the build of the deploy file and review/build-2.sh first" >&2; exit 2; }
exec target/review-2/harness capital-host review/10
