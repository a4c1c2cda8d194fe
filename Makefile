GO ?= go
STATICCHECK = honnef.co/go/tools/cmd/staticcheck@v0.8.2
REVIVE = github.com/mgechev/revive@v1.17.0

# KNOWN_RED is a pattern of the tests that KNOWN-RED.txt lists.
KNOWN_RED = $(shell sed -n 's/^test: \([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)

# TIME is how long make fuzz runs each fuzz test.
TIME ?= 30s

.PHONY: build demo play test fuzz bench soak generate clean

build:
	$(GO) build -o bin/jaypitch ./cmd/jaypitch
	$(GO) build -o bin/jaypitchd ./cmd/jaypitchd
	$(GO) build -o bin/standin ./cmd/standin
	$(GO) build -o bin/demo ./demo
	$(GO) build -o bin/bench ./bench

demo: build
	bin/demo -jaypitch bin/jaypitch -jaypitchd bin/jaypitchd -standin bin/standin

# Starts one deployment, prints its addresses and waits for an interrupt.
play: build
	bin/demo -hold -jaypitch bin/jaypitch -standin bin/standin

test:
	@files=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$files" ]; then echo "gofmt would change:"; echo "$$files"; exit 1; fi
	$(GO) vet ./...
	@for arch in amd64 arm64; do echo "GOARCH=$$arch $(GO) vet ./..."; GOARCH=$$arch $(GO) vet ./... || exit 1; done
	$(GO) run $(STATICCHECK) ./...
	$(GO) run $(REVIVE) -config revive.toml -set_exit_status -exclude schema/... ./...
	@if [ -f KNOWN-RED.txt ]; then echo "not run, see KNOWN-RED.txt:"; cat KNOWN-RED.txt; fi
	$(GO) test -race $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') $$($(GO) list ./... | grep -v /hostile$$)
	$(GO) test $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./hostile

# Runs each fuzz test for TIME. What it finds is written to the package's testdata and belongs in a commit.
fuzz:
	@grep -rHo --include=*_test.go '^func Fuzz[A-Za-z]*' . | sed 's/:func / /' | while read -r file name; do \
		echo "$$name in $$(dirname $$file)"; $(GO) test -run '^$$' -fuzz "^$$name$$" -fuzztime $(TIME) -parallel 2 "$$(dirname $$file)" || exit 1; done

bench: build
	bin/bench -jaypitch bin/jaypitch -standin bin/standin

# Runs sidecars under overlapping faults that are drawn from SEED, and checks what clients, servers and operators see. OPERATIONS.md describes it.
FOR ?= 2m
PROCESSES ?= 40
soak:
	$(GO) build -o bin/jaypitchd ./cmd/jaypitchd
	$(GO) build -o bin/soak ./cmd/soak
	bin/soak -jaypitchd bin/jaypitchd -for $(FOR) -processes $(PROCESSES) $(if $(SEED),-seed $(SEED))

generate:
	./generate.sh

clean:
	rm -rf bin
