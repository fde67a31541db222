.PHONY: build test race lint run demo

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -count=1 ./...

race:
	go test -count=1 -race ./cmd/... ./internal/...

lint:
	test -z "$$(gofmt -l brain cmd internal)"
	go vet ./...

# A works, discovery, two dispatchers and a gentle load on loopback, with live figures; Ctrl-C ends it.
demo: build
	bin/brassdale-lab demo

# Needs the platform's variables; see README.md.
run: build
	exec bin/brassdale
