#!/usr/bin/env bash
# Needs the build of the deploy file and review/build-2.sh. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec review/6/case --root "$PWD" --record review/6/record.txt
