.PHONY: build test test-packages test-interface properties race lint fmt soak run demo sites

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

# One package at a time: many start real processes and go by real time, and are late where others start theirs beside them. What
# goes by the loopback interface's own figures follows by itself.
# Two targets, so that with make --keep-going (.ci/test-over-known-red) the second runs also where a listed test fails in the first.
test: test-packages test-interface

test-packages:
	go test -count=1 -p 1 ./...

test-interface:
	BRASSDALE_ALONE=1 go test -count=1 -run TestInterface ./internal/scale

# The property tests on other cases than those of every run: make properties SEED=7.
SEED ?= 2
properties:
	go test -count=1 $$(go list -f '{{range .TestImports}}{{if eq . "brassdale/internal/testsupport/property"}}{{$$.ImportPath}} {{end}}{{end}}' ./...) -rapid.seed=$(SEED) -rapid.checks=10000

# A process under the race detector sleeps for a second when it ends, which its tests would take for its own time.
race:
	GORACE=atexit_sleep_ms=0 go test -count=1 -p 1 -race ./scheduler/... ./cmd/... ./internal/...

lint:
	test -z "$$(gofmt -l scheduler cmd internal)"
	go vet ./...
	go tool staticcheck ./...
	go tool -modfile=tools/go.mod golangci-lint run ./...

fmt:
	gofmt -w scheduler cmd internal

# Fifty seeds of each scenario of real dispatchers under drawn faults, every rule audited: about fourteen minutes.
soak: build
	bin/brassdale-lab soak scenarios/soak/*.hcl --seeds 1-50 --together 3

# A works, discovery, two dispatchers and a gentle load on loopback, with live figures; Ctrl-C ends it.
demo: build
	bin/brassdale-lab demo

# Needs the platform's variables; see README.md.
run: build
	exec bin/brassdale

# Lays what the operators' bench needs beside the variants of deploy/sites, from the kit's folder: make sites KIT=DIR
sites:
	test -n "$(KIT)" || { echo "make sites KIT=DIR, the folder of the operators' kit" >&2; exit 2; }
	install -m 644 "$(KIT)/more/mass/other/real.json" "$(KIT)/more/mass/other/wire.json" "$(KIT)/more/mass/other/unlock.txt" deploy/sites/
