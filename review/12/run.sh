#!/bin/sh
# Plays the case once against target/hickoryhook. Exit code 1: the rule was broken, 0: it held, 2: the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hickoryhook ] && [ -x target/rig3 ] || { echo "build first: the deploy file's command, review/build-3.sh" >&2; exit 2; }
exec target/rig3 service-name target/hickoryhook review/12/record.txt
