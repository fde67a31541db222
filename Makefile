.PHONY: build test test-packages test-interface properties race lint fmt soak run demo sites

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

# One package at a time: many packages start real processes with real-time limits, and miss these if other packages start processes at
# the same time. TestInterface reads the counters of the loopback interface, so it runs last and without other tests.
# Two targets, so that make --keep-going (.ci/test-over-known-red) runs the second even if a listed test fails in the first.
test: test-packages test-interface

test-packages:
	go test -count=1 -p 1 ./...

test-interface:
	BRASSDALE_ALONE=1 go test -count=1 -run TestInterface ./internal/scale

# Runs the property tests on other cases than the default ones: make properties SEED=7.
SEED ?= 2
properties:
	go test -count=1 $$(go list -f '{{range .TestImports}}{{if eq . "brassdale/internal/testsupport/property"}}{{$$.ImportPath}} {{end}}{{end}}' ./...) -rapid.seed=$(SEED) -rapid.checks=10000

# By default, a process under the race detector sleeps for a second before it exits. Tests would count that as part of its shutdown.
race:
	GORACE=atexit_sleep_ms=0 go test -count=1 -p 1 -race ./scheduler/... ./cmd/... ./internal/...

lint:
	test -z "$$(gofmt -l scheduler cmd internal)"
	go vet ./...
	go tool staticcheck ./...
	go tool -modfile=tools/go.mod golangci-lint run ./...

fmt:
	gofmt -w scheduler cmd internal

# Runs real dispatchers under faults drawn from fifty seeds for each scenario, and audits every rule: about twenty minutes.
soak: build
	bin/brassdale-lab soak scenarios/soak/*.hcl --seeds 1-50 --together 3

# Runs a deployment of workers, discovery and two dispatchers under light load on loopback, with live figures. Ctrl-C stops it.
demo: build
	bin/brassdale-lab demo

# Needs the platform's environment variables; see README.md.
run: build
	exec bin/brassdale

# Copies the files that the operators' bench needs besides the variants of deploy/sites from the kit's folder: make sites KIT=DIR
sites:
	test -n "$(KIT)" || { echo "make sites KIT=DIR, the folder of the operators' kit" >&2; exit 2; }
	install -m 644 "$(KIT)/more/mass/other/real.json" "$(KIT)/more/mass/other/wire.json" "$(KIT)/more/mass/other/unlock.txt" deploy/sites/
