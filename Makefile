BIN := bin
TOOL := go tool -modfile=tools/go.mod
PACKAGES := ./...
SEED ?= 1
SOURCES = $(wildcard cmd internal platform test)

.PHONY: build
build:
	go build -o $(BIN)/ ./cmd/...

.PHONY: generate
generate:
	go build -modfile=tools/go.mod -o $(BIN)/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=$(BIN)/protoc-gen-go --go_out=. --go_opt=paths=source_relative proto/kumquat/v1/link.proto proto/kumquat/v1/instance.proto

.PHONY: fmt
fmt:
	$(TOOL) gofumpt -w $(SOURCES)

.PHONY: lint
lint:
	@test -z "$$($(TOOL) gofumpt -l $(SOURCES))" || { echo "gofumpt: run make fmt for:"; $(TOOL) gofumpt -l $(SOURCES); exit 1; }
	go vet $(PACKAGES)
	$(TOOL) staticcheck $(PACKAGES)

# Packages whose tests take rapid's flags.
RAPID = $(shell go list -f '{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$$.ImportPath}} {{end}}{{end}}' $(PACKAGES))
PLAIN = $(filter-out $(RAPID),$(shell go list $(PACKAGES)))
# Packages that run the binaries. They are not cached, because the test cache does
# not track changes of the binaries.
PROCESSES = kumquatyard/test/atmostonce kumquatyard/test/configuration kumquatyard/test/reclaim kumquatyard/test/rolling kumquatyard/test/soak
# Runs after the others, apart from their load, since it measures the memory of a process
# under a crowd of clients. It is not built with the race detector, which would slow the
# crowd down.
MISBEHAVING = kumquatyard/test/misbehaving
# Tests listed in KNOWN-RED.txt, which are skipped and printed.
RED = $(shell grep -v '^\#' KNOWN-RED.txt | cut -f1 | paste -sd'|' -)
SKIP = $(if $(RED),-skip '^($(RED))$$')

.PHONY: test
test:
	@grep -v '^#' KNOWN-RED.txt | sed 's/^/known red: /' || true
	go test -race $(SKIP) $(filter-out $(PROCESSES) $(MISBEHAVING),$(PLAIN))
	go test -race -count=1 $(SKIP) $(PROCESSES)
	go test -race $(SKIP) $(RAPID) -rapid.seed=$(SEED) -rapid.nofailfile
	go test -count=1 -p 1 $(SKIP) $(MISBEHAVING)

DURATION ?= 60s

# Runs the at-most-once test with processes for longer than make test does.
.PHONY: prove
prove:
	SEED=$(SEED) DURATION=$(DURATION) go test ./test/atmostonce -run TestAtMostOnce -count=1 -v -timeout 2h

# Runs the fault soak with SEEDS seeds from SEED on, each with faults for DURATION.
SEEDS ?= 1
.PHONY: soak
soak:
	go test ./test/soak -run TestLong -count=1 -v -timeout 2h -soak.seed=$(SEED) -soak.seeds=$(SEEDS) -soak.duration=$(or $(DURATION),20s)

.PHONY: up
up: build
	@bash scripts/up.sh

.PHONY: down
down:
	@bash scripts/down.sh

# Measures the control plane and writes docs/slopes.txt, which docs/CAPACITY.md
# quotes. Takes about ten minutes.
.PHONY: slopes
slopes:
	go build -o $(BIN)/slopes ./test/slopes
	$(BIN)/slopes --revision "$$(git describe --always --dirty)"

# Compares the routing policies on both deployments' mixes.
.PHONY: policy
policy:
	go run ./test/policy/table --seed $(SEED)

.PHONY: overhead
overhead: build
	@bash scripts/overhead.sh

.PHONY: compare
compare: build
	@bash scripts/compare.sh
