# The two commands of a fresh machine: make demo, make test.
.PHONY: demo test lint bench bench-config slopes soak fuzz generate

demo:
	scripts/demo.sh

test: lint
	go test -race -timeout 20m ./...

lint:
	scripts/lint.sh

bench:
	scripts/bench.sh

generate:
	scripts/generate.sh

bench-config:
	scripts/bench-config.sh

slopes:
	scripts/slopes.sh

soak:
	scripts/soak.sh

fuzz:
	scripts/fuzz.sh
