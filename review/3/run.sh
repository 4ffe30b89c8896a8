#!/usr/bin/env bash
# Exits with 1 if a node that was not disturbed handled a request by the old configuration later than
# config_apply_ms after the acknowledgement of the new one, 0 if none did, and 2 if the case could
# not run. TROUBLE=0 leaves out the freezes.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/lab frozen review/3
