#!/bin/sh
# Case 7: a server is replaced just before an outage of the store. Exit code: 0 held, 1 broken, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-standins-2
if [ ! -x "$program" ] || [ ! -x target/release/briarswitch-node ]; then
  echo "run the build of the deploy file and review/build-2.sh first" >&2
  exit 2
fi
exec "$program" release-before-outage review/7/record.txt
