GO ?= go
STATICCHECK = honnef.co/go/tools/cmd/staticcheck@v0.8.2
REVIVE = github.com/mgechev/revive@v1.17.0

.PHONY: build demo play test bench generate clean

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
	$(GO) run $(STATICCHECK) ./...
	$(GO) run $(REVIVE) -config revive.toml -set_exit_status -exclude schema/... ./...
	$(GO) test -race ./...

bench: build
	bin/bench -jaypitch bin/jaypitch -standin bin/standin

generate:
	./generate.sh

clean:
	rm -rf bin
