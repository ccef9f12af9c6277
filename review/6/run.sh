#!/usr/bin/env bash
# Case 6: a node ends after SIGTERM while clients still read answers that it holds. Exit code: 0 held, 1 broken, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-standins-2
if [ ! -x "$program" ] || [ ! -x target/release/briarswitch-node ]; then
  echo "run the build of the deploy file and review/build-2.sh first" >&2
  exit 2
fi
exec "$program" slow-reader review/6/record.txt
