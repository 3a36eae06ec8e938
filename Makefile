# Everything a person runs here. `make help` lists the targets.
GO ?= go
BIN := bin
SOURCES := $(shell find cmd internal -name '*.go' -not -name '*.pb.go' -not -name '*.twirp.go')
FUZZTIME ?= 20s
# Tests that fail for a known fault, one a line in KNOWN-RED.txt, its name first.
KNOWN_RED := $(shell [ -f KNOWN-RED.txt ] && cut -d' ' -f1 KNOWN-RED.txt | paste -sd'|')
SKIP_KNOWN_RED := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')
# Packages whose tests run whole sites and fleets against the clock. They run one after the
# other and beside nothing else, so that each run gives the same verdict.
CLOCKED := ./platform ./internal/command ./internal/control ./internal/bench/soak
OTHERS = $(filter-out $(shell $(GO) list $(CLOCKED)),$(shell $(GO) list ./...))
# The data of tests lies in memory where the machine offers 2 GB for that (whole sites take a few MB): a sync
# to a disk that takes in the files of a build beside it was seen to hold a coordinator's start up for 37 s.
MEMORY_FOLDER := /dev/shm
MEMORY_FREE_KB := $(shell df -Pk $(MEMORY_FOLDER) 2>/dev/null | awk 'NR == 2 { print $$4 }')
TEST_DATA := $(shell [ "0$(MEMORY_FREE_KB)" -ge 2000000 ] && echo 'GOTMPDIR=$${TMPDIR:-/tmp} TMPDIR=$(MEMORY_FOLDER)')
STATICCHECK_VERSION := v0.8.2

.PHONY: help build test race lint format-check generate generate-check model fuzz demo soak clean

help: ## list the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | awk -F':.*## ' '{printf "%-16s %s\n", $$1, $$2}'

build: ## build both programs into bin/
	$(GO) build -o $(BIN)/rockwind ./cmd/rockwind
	$(GO) build -o $(BIN)/rockwind-bench ./cmd/rockwind-bench

test: ## run all tests with their fixed seeds
	$(TEST_DATA) $(GO) test -timeout 20m $(SKIP_KNOWN_RED) $(OTHERS)
	$(TEST_DATA) $(GO) test -p 1 -timeout 20m $(SKIP_KNOWN_RED) $(CLOCKED)

race: ## run all tests with the race detector, short seed sets
	$(TEST_DATA) $(GO) test -race -short -timeout 30m $(SKIP_KNOWN_RED) $(OTHERS)
	$(TEST_DATA) $(GO) test -race -short -p 1 -timeout 30m $(SKIP_KNOWN_RED) $(CLOCKED)

format-check: ## fail where a file is not formatted
	@unformatted=$$(gofmt -l $(SOURCES)); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted; run gofmt -w"; exit 1; fi

lint: format-check ## formatter, vet and staticcheck
	$(GO) vet ./...
	$(GO) run honnef.co/go/tools/cmd/staticcheck@$(STATICCHECK_VERSION) ./...

generate: ## generate code from proto/ (needs buf, protoc-gen-go, protoc-gen-twirp)
	buf lint
	buf generate

generate-check: ## fail where generated code is not current; passes over it where the tools are absent
	@if command -v buf >/dev/null && command -v protoc-gen-go >/dev/null && command -v protoc-gen-twirp >/dev/null; then \
		$(MAKE) generate && git diff --exit-code -- internal/rockwindpb; \
	else echo "generate-check: buf or a generator is not installed; not checked"; fi

model: ## check the specifications with spin
	@command -v spin >/dev/null || (apt-get update -qq && apt-get install -y -qq spin gcc)
	bash spec/run.sh

fuzz: ## fuzz decoders and state machines for FUZZTIME each
	FUZZTIME=$(FUZZTIME) bash .ci/fuzz

demo: build ## run the whole system on loopback for a minute; KEEP=1 leaves it running
	$(BIN)/rockwind-bench fleet demo $(if $(KEEP),--keep,)

soak: build ## harm a site of real processes from outside, three fresh seeds of 40 s
	$(BIN)/rockwind-bench soak --count 3 --duration 40s

clean: ## remove what was built
	rm -rf $(BIN) spec/build demo-data
