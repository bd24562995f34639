package entry

import (
	"context"
	"errors"

	"acaciakeel/refusal"
)

// shutdownRefusal returns the answer to a request that is given up because the process
// ends, which comes as the cause of the end of its context; nil where that has
// another cause, or has not ended.
func shutdownRefusal(ctx context.Context) *refusal.Error {
	var shutdown *refusal.Error
	if !errors.As(context.Cause(ctx), &shutdown) {
		return nil
	}
	own := *shutdown
	return &own
}
