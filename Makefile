TOOLS := go tool -modfile=tools/go.mod
LINT := go tool -modfile=tools/lint/go.mod golangci-lint
VERSION := 0.1.0
REVISION := $(shell git rev-parse --short HEAD 2>/dev/null || echo devel)
LDFLAGS := -X main.version=$(VERSION) -X main.revision=$(REVISION)

.PHONY: build test lint format generate demo failures measure

build:
	go build -ldflags "$(LDFLAGS)" -o bin/rosecroft .
	go build -o bin/standin ./src/cmd/standin
	go build -o bin/demo ./src/cmd/demo
	go build -o bin/load ./src/cmd/load
	go build -o bin/failures ./src/cmd/failures
	go build -o bin/measure ./src/cmd/measure

test:
	go test -race ./...

lint:
	$(LINT) run ./...

format:
	$(LINT) fmt ./...

generate:
	cd proto && go tool -modfile=../tools/go.mod buf generate
	$(TOOLS) wire gen ./src/launcher

demo: build
	bin/demo

SEED ?= 1
failures: build
	bin/failures --seed $(SEED)

measure: build
	bin/measure
