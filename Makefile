# Targets for developers and users of samphireflow.

BIN := .run/bin
GO ?= go
# Added to the flags of the environment and of go env -w, which an exported variable would hide.
export GOFLAGS := $(strip $(shell $(GO) env GOFLAGS) -buildvcs=false)

.PHONY: build test demo up down bench prove generate lint ci

build:
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

test:
	$(GO) test $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./...

demo: build
	$(BIN)/deployment demo --bin $(BIN)

up: build
	$(BIN)/deployment up --bin $(BIN)

down: build
	$(BIN)/deployment down

bench: build
	$(GO) run ./cmd/bench --out bench/results.json

prove: build
	SAMPHIREFLOW_PROVE=1 SAMPHIREFLOW_BIN=$(CURDIR)/$(BIN) $(GO) test -count=1 -p 1 -timeout 40m ./test/...

generate:
	$(GO) generate ./api

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "gofmt: the files above are not formatted"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
