# build: the three programs in bin/. demo: the main job. test: all that CI runs.
.PHONY: build demo test check

build:
	go build -o bin/ ./cmd/...

demo: build
	./bin/bramblebench demo

check:
	@unformatted=$$(gofmt -l cmd pkg test); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

test: build check
	BRAMBLELIFT_BIN=$(CURDIR)/bin go test -count=1 -timeout 9m ./...
