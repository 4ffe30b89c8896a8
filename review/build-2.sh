#!/usr/bin/env bash
# Builds the harness of the second review's scripts, with all stand-ins, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/harness ./review/harness-2
