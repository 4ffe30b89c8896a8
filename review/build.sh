#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/lab ./review/lab
