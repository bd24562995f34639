# The two commands of a fresh machine: make demo, make test.
.PHONY: demo test lint bench bench-config slopes soak soak-platform fuzz generate

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

# Seeds of the soak on the platform's protocol: SEED, SECONDS_EACH, ENTRIES, LOGS.
# PART says which part: none is all kinds of faults together, Stops planned stops
# beside changes, Foreign entries of other writers alone, Copies refusals that are repeated
# (SOAK_COPY_EVERY: which refusal, SOAK_SENDS: how often clients send one ID), and '.*'
# everything.
soak-platform:
	SOAK_SEED=$(SEED) SOAK_SECONDS=$(SECONDS_EACH) SOAK_ENTRIES=$(ENTRIES) SOAK_LOGS=$(LOGS) go test ./integration/soak -run '^TestSoak$(PART)$$' -count=1 -v

fuzz:
	scripts/fuzz.sh
