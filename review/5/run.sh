#!/usr/bin/env bash
# Exits with 1 if requests reached an instance later than drain_ms after the acknowledgement that it is
# draining, 0 if none did, and 2 if the case could not run. TROUBLE=0 leaves out the step of the clock.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/lab clock review/5
