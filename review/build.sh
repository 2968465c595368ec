#!/bin/sh
# Builds the stand-ins that the cases start. Needs no network: they use the standard library alone.
set -e
cd "$(dirname "$0")/standins"
exec cargo build --release --offline --locked
