package entry

import (
	"context"
	"errors"

	"acaciakeel/refusal"
)

// endingOf returns the answer to a request that is given up because the process
// ends, which comes as the cause of the end of its context; nil where that has
// another cause, or has not ended.
func endingOf(ctx context.Context) *refusal.Error {
	var ending *refusal.Error
	if !errors.As(context.Cause(ctx), &ending) {
		return nil
	}
	own := *ending
	return &own
}
