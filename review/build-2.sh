#!/usr/bin/env bash
# Builds the programs of the second review's cases, beside their sources.
set -euo pipefail
cd "$(dirname "$0")/.."
for n in 4 5 6; do
    if [ -d "review/$n" ]; then
        go build -o "review/$n/case" "./review/$n"
    fi
done
