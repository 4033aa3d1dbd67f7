# build: the three programs in bin/. demo: the main job. test: all that CI runs.
.PHONY: build demo test check

REVISION := $(shell git rev-parse --short HEAD 2>/dev/null || echo unknown)$(shell git diff --quiet HEAD 2>/dev/null || echo +)

build:
	go build -ldflags "-X bramblelift/pkg/version.revision=$(REVISION)" -o bin/ ./cmd/...

demo: build
	./bin/bramblebench demo

check:
	@unformatted=$$(gofmt -l cmd pkg platform test); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

test: build check
	BRAMBLELIFT_BIN=$(CURDIR)/bin go test -count=1 -timeout 9m ./...
