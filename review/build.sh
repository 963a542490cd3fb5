#!/usr/bin/env bash
# Builds the stand-ins that the script cases start: the store, the engines and the clients are
# one program. The daemons come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/driver ./review/driver
