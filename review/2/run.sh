#!/usr/bin/env bash
# Exits with 1 if requests reached an instance that had left, 0 if none did, and 2 if the case could
# not run. TROUBLE=0 leaves out the kill of the nodes.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/lab herd review/2
