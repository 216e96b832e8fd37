# The few commands that people run.

GO_PACKAGES := ./...
TOOL := go tool -modfile=tools/go.mod
# Generated files are formatted by their generator.
FORMATTED := $(shell git ls-files --cached --others --exclude-standard '*.go' | grep -v '\.pb\.go$$')

SOAK_SEED ?= $(shell date +%s)
SOAK_SEEDS ?= 10

.PHONY: build run soak test format check-format lint generate gopls

build:
	go build -o bin/ ./cmd/...

# Starts a whole fleet on the loopback interface, shows it at work, and ends by
# itself; then one of the Halvorsen platform's program.
run: build
	bin/mangobench demo
	bin/mangoloft-soak --calm --seconds 3

# Plays faults against entry instances of the Halvorsen platform.
soak: build
	bin/mangoloft-soak --seed $(SOAK_SEED) --seeds $(SOAK_SEEDS)

# All that CI runs.
test: build check-format lint
	go vet $(GO_PACKAGES)
	go run ./cmd/redlist -- go test -count=1 -timeout 20m $(GO_PACKAGES)

format:
	$(TOOL) gofumpt -w $(FORMATTED)

check-format:
	@unformatted="$$($(TOOL) gofumpt -l $(FORMATTED))"; \
	if [ -n "$$unformatted" ]; then echo "not formatted (run make format):"; echo "$$unformatted"; exit 1; fi

lint:
	$(TOOL) revive -config revive.toml -set_exit_status ./...

# Needs protoc; the build does not, because its output is committed.
generate:
	go build -o bin/protoc-gen-go -modfile=tools/go.mod google.golang.org/protobuf/cmd/protoc-gen-go
	go build -o bin/protoc-gen-go-grpc -modfile=tools/go.mod google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH="$(CURDIR)/bin:$$PATH" protoc --go_out=. --go_opt=module=mangoloft --go-grpc_out=. --go-grpc_opt=module=mangoloft peerpb/peer.proto

# Renames identifiers across packages: bin/gopls rename -w FILE:LINE:COLUMN NAME
gopls:
	go build -modfile=tools/gopls/go.mod -o bin/gopls golang.org/x/tools/gopls
