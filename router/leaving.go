package router

import (
	"errors"
	"time"

	"acaciakeel/catalog"
)

// ErrShutdown is the cause with which the context of requests is canceled when the
// process ends. They get a last answer then that says what is known of them; a
// stream that has begun breaks off.
var ErrShutdown = errors.New("the process ends")

// leaveRetryAfter is when to come back after a refusal by an entry that stops:
// others serve, and a new connection leads to one.
const leaveRetryAfter = 100 * time.Millisecond

// SetShutdownDeadline tells the router that the process ends at a time. Requests that are not
// expected to end before that are refused at once, as not run: broken off in
// the middle, one that may run once could not be sent again, and of a stream the
// client would have to know where to go on.
func (r *Router) SetShutdownDeadline(deadline time.Time) {
	r.leaving.Store(&deadline)
}

// endsBy reports whether a request is expected to end by a time: a stream within
// the client's patience, an answer in one piece within its route's objective.
func (in *admitted) endsBy(until time.Time) bool {
	if in.route.Kind == catalog.Stream {
		return !in.limit.IsZero() && !in.limit.After(until)
	}
	return !in.Received.Add(in.route.Objective).After(until)
}
