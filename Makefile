# Commands of the project. README.md says what each is for.
BIN := bin
TEST_FLAGS ?=

.PHONY: all build demo test soak lint proof bench replay tool gopls fmt

all: build

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	bash scripts/demo.sh $(BIN)

# Beside load the package entry takes up to 9 of the 10 minutes that go test allows by default.
test:
	go test -timeout 20m $(TEST_FLAGS) ./...

soak:
	go test ./soak -run '^TestSoak$$' -count=1 -timeout 60m -soak.seeds=50 -soak.jobs=3 -v

proof:
	go test -count=1 -run '^TestHolds' -v ./... | grep -E '^(=== RUN|--- |\s+--- |ok|FAIL|panic)' | grep -v '=== RUN'

bench:
	go test -run '^$$' -bench . -benchmem -benchtime 100ms -count 3 $(or $(BENCH),./...)

replay:
	go run ./cmd/replay

tool: $(BIN)/golangci-lint

$(BIN)/golangci-lint: tools/go.mod
	cd tools && go build -o ../$(BIN)/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint

gopls: $(BIN)/gopls

$(BIN)/gopls: tools/gopls/go.mod
	cd tools/gopls && go build -o ../../$(BIN)/gopls golang.org/x/tools/gopls

lint: tool
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	$(BIN)/golangci-lint run ./...

fmt: tool
	$(BIN)/golangci-lint fmt ./...
