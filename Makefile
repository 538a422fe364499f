BIN := $(CURDIR)/bin
GO ?= go
FUZZ_TIME ?= 40s
TIME ?= $(FUZZ_TIME)
RACE_PACKAGES ?= ./...
PASS_OVER := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

SEED ?= 1000
SEEDS ?= 10
SOAK ?= -soak.length 12s -soak.hosts 4 -soak.callers 6

.PHONY: all build demo test test-race fuzz soak measure bench format lint tools generate check clean

all: build

build: ## build the one binary into bin/
	$(GO) build -o $(BIN)/balsamvalve .

demo: build ## run the whole system in one process and print a summary
	$(BIN)/balsamvalve demo

test: ## everything that CI tests
	$(GO) test $(PASS_OVER) ./...

test-race: ## all tests under the race detector
	$(GO) test -race $(PASS_OVER) $(RACE_PACKAGES)

fuzz: ## explore fresh seeds for TIME
	bash scripts/fuzz.sh $(TIME)

soak: build ## routing daemons as processes under faults: SEEDS seeds from SEED on, reports into out/soak
	$(GO) test ./platform -run '^TestSoak$$' -v -timeout 0 -soak.binary $(BIN)/balsamvalve \
		-soak.seed $(SEED) -soak.seeds $(SEEDS) -soak.report $(CURDIR)/out/soak $(SOAK)

measure: build ## the decisions against their baselines, in virtual time
	$(BIN)/balsamvalve experiment

bench: ## benchmarks of decisions and daemons
	$(GO) test -run '^$$' -bench . -benchmem ./...

format: ## rewrite sources with gofmt
	gofmt -w $$(git ls-files '*.go')

lint: tools ## gofmt, go vet and staticcheck
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi
	$(GO) vet ./...
	$(BIN)/staticcheck ./...
	bash scripts/check-proofs.sh
	bash scripts/check-comments.sh

tools: $(BIN)/staticcheck

$(BIN)/staticcheck: tools/go.mod
	cd tools && GOBIN=$(BIN) $(GO) install honnef.co/go/tools/cmd/staticcheck golang.org/x/tools/cmd/stringer

generate: ## regenerate enum names and the peer protocol
	cd tools && GOBIN=$(BIN) $(GO) install tool
	PATH=$(BIN):$$PATH $(GO) generate ./...

check: lint build test ## what to run before a commit

clean:
	rm -rf bin out
