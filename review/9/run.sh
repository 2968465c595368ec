#!/bin/sh
# Needs the build of the deploy file and review/build-2.sh. Exit 1: the rule was broken; 0: it held; 2: it could not run.
# TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
driver=target/review-2/release/upgrade
[ -x "$driver" ] || { echo "run review/build-2.sh first"; exit 2; }
exec "$driver" "$here"
