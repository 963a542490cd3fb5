#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10. The daemons are built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/driver ./review/driver-2
