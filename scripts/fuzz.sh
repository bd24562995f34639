#!/usr/bin/env bash
# Many more histories of the models than make test runs, and fuzzing of what
# outsiders send. CHECKS histories a property, SECONDS_EACH a fuzz target.
set -euo pipefail
cd "$(dirname "$0")/.."
for dir in admission cache configsync ledger placement prefix resource rollout stream; do
  go test "./$dir" -rapid.checks="${CHECKS:-20000}"
done
for target in FuzzDecodeChat FuzzResumePoint; do
  go test ./entry -run xxx -fuzz "^$target\$" -fuzztime "${SECONDS_EACH:-15}s"
done
for target in FuzzDecodeHead FuzzForwardedURI FuzzParsePrefix FuzzParseTokenCount FuzzDecodeRunner FuzzDecodeConfig FuzzDecodeWeights FuzzDecodeItem FuzzDecodeCacheEvent; do
  go test ./platform -run xxx -fuzz "^$target\$" -fuzztime "${SECONDS_EACH:-15}s"
done
go test ./httphead -run xxx -fuzz '^FuzzResponseHead$' -fuzztime "${SECONDS_EACH:-15}s"
go test ./node -run xxx -fuzz '^FuzzPulse$' -fuzztime "${SECONDS_EACH:-15}s"
go test ./router -run xxx -fuzz '^FuzzReadEvent$' -fuzztime "${SECONDS_EACH:-15}s"
