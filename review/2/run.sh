#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-standins
[ -x "$program" ] && [ -x target/release/briarswitch-node ] || exit 2
exec "$program" removed-server "$PWD" "$PWD/review/2"
