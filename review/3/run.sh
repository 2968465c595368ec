#!/bin/sh
# Runs the case once: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. First run the build of the deploy file and review/build.sh.
CASE_DIR=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE_DIR/../.." && pwd)
export CASE_DIR ROOT
program="$ROOT/review/standins/target/release/stalled_uploads"
[ -x "$program" ] || { echo "the case could not run: review/build.sh comes first"; exit 2; }
exec "$program"
