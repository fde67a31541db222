.PHONY: build test race lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -count=1 ./...

race:
	go test -count=1 -race ./cmd/... ./internal/...

lint:
	test -z "$$(gofmt -l brain cmd internal)"
	go vet ./...

# Needs the platform's variables; see README.md.
run: build
	exec bin/brassdale
