package router

import (
	"errors"
	"time"

	"acaciakeel/catalog"
	"acaciakeel/refusal"
)

// ErrShutdown is the cause with which the contexts of requests are canceled when the process
// stops. Their clients then get a last response that reports the known outcome; a stream
// that has begun breaks off.
var ErrShutdown = errors.New("the process ends")

// shutdownRetryAfter is the Retry-After value of an entry that is stopping. It is short
// because other nodes still serve, and a new connection leads to one of them.
const shutdownRetryAfter = 100 * time.Millisecond

// RefuseAtShutdown returns the refusal of a request that no target has and that this process
// doesn't send any more.
func RefuseAtShutdown(reason string) *refusal.Error {
	return refusal.New(refusal.Stopping, "ask another entry", "%s", reason).WithRetryAfter(shutdownRetryAfter)
}

// SetShutdownDeadline announces when the process stops. Requests that are not expected to end
// by then are refused immediately as not run. If they were broken off later, a request that
// may run only once could not be retried, and the client would have to know where to resume
// a stream.
func (r *Router) SetShutdownDeadline(deadline time.Time) {
	r.shutdownDeadline.Store(&deadline)
}

// expectedToEndBy reports whether a request is expected to end by a time: a stream by the
// deadline of its client or route, any other request within the objective of its route.
func (in *admittedRequest) expectedToEndBy(until time.Time) bool {
	if in.route.Kind == catalog.Stream {
		return !in.deadline.IsZero() && !in.deadline.After(until)
	}
	return !in.Received.Add(in.route.Objective).After(until)
}
