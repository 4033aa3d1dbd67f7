#!/bin/sh
# Builds the program as deploy/system.toml does, and the stand-ins of the cases.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/ ./cmd/bramblelift
for n in 1 2 3; do
	go build -o "review/$n/case" "./review/$n"
done
