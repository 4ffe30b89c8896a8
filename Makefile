# Targets for developers and CI. `make demo` and `make test` are the two commands of the README.
export CGO_ENABLED := 1
SEED ?= 1

.PHONY: build demo test lint generate fuzz prove bench

build:
	go build -o bin/ ./cmd/...

demo: build
	bin/mtdemo --bin-dir bin

# SKIP names tests to leave out, joined by |; CI leaves out those of KNOWN-RED.txt.
# The crowds run after all other tests and by themselves, because they load the machine.
test:
	go test -race -count=1 $(if $(SKIP),-skip '$(SKIP)') $$(go list ./... | grep -v /internal/crowd$$)
	go test -count=1 $(if $(SKIP),-skip '$(SKIP)') ./internal/crowd

lint:
	@unformatted=$$(gofmt -l cmd internal pkg); if [ -n "$$unformatted" ]; then echo "gofmt needed:"; echo "$$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

# Regenerates gen/ from proto/. The generated code is committed; builds do not need this target.
generate:
	go build -C tools -o ../bin/tools/ tool
	PATH="$(CURDIR)/bin/tools:$$PATH" bin/tools/buf generate

# A failure run on real processes, judged by history checkers.
prove: build
	bin/mtprove --bin-dir bin --seed $(SEED)
