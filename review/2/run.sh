#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/2/case ] || [ ! -x target/bramblelift ]; then
	sh review/build.sh >&2 || exit 2
fi
exec timeout -k 2 110 review/2/case review/2
