#!/bin/sh
# Plays the case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"  *#.*/\1/p' deploy/balancer.toml)
if [ -z "$run" ] || [ ! -x review/bin/case3 ]; then
  echo "run the build of deploy/balancer.toml and review/build.sh first" >&2
  exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec review/bin/case3 -run "$run" -trouble=$trouble -record review/3/record.txt
