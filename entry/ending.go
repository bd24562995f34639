package entry

import (
	"context"
	"errors"

	"acaciakeel/refusal"
)

// shutdownRefusal returns the refusal of a request that was canceled because the
// process shuts down. The shutdown passes it as the cause of the context. It returns
// nil if the context is not done or has another cause.
func shutdownRefusal(ctx context.Context) *refusal.Error {
	var shutdown *refusal.Error
	if !errors.As(context.Cause(ctx), &shutdown) {
		return nil
	}
	own := *shutdown
	return &own
}
