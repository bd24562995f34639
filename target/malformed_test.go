package target

import (
	"context"
	"errors"
	"testing"

	"acaciakeel/internal/standin/malformed"
)

// Guards against a malformed response of an engine or a service that counts as the answer to a call, or
// as a promise that nothing was done.
func TestTargetCallsRefuseMalformedResponses(t *testing.T) {
	for name, head := range malformed.Heads() {
		t.Run(name, func(t *testing.T) {
			for _, call := range endlessCalls() {
				body := "{}"
				if call.bodyStart == "data: " {
					body = "data: {}\n\n"
				}
				base := "http://" + malformed.Serve(t, head, body)
				ctx, cancel := context.WithTimeout(t.Context(), testCallTimeout)
				err := call.run(ctx, NewEngine(base), NewService(base))
				cancel()
				if err == nil || errors.Is(err, ErrNotAccepting) || errors.Is(err, ErrNotSent) || errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("%s: %v", call.name, err)
				}
			}
		})
	}
}
