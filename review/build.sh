#!/bin/sh
# Builds the program as deploy/system.toml does, and the stand-ins of the cases.
set -e
cd "$(dirname "$0")/.."
mkdir -p target review/bin
go build -ldflags=-linkmode=external -o target/ ./cmd/bramblelift
for n in 1 2 3; do
	if [ -d "review/$n" ] && ls "review/$n"/*.go >/dev/null 2>&1; then
		go build -o "review/bin/case$n" "./review/$n"
	fi
done
