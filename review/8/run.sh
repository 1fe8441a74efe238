#!/usr/bin/env bash
# Plays engines that deregister, the loss of all processes right after that, and late heartbeats of these engines.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disturbance
# out, and the record is then record-without-trouble.txt.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/rosecroft ] || [ ! -x target/review-2/kit-2 ]; then
  echo "run the build line of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
record=record.txt
if [ "${TROUBLE:-1}" = 0 ]; then
  record=record-without-trouble.txt
fi
exec target/review-2/kit-2 departure target/rosecroft review/8/$record
