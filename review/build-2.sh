#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start: the store, the workers, the callers and the
# judge of each case are one program.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/rig
