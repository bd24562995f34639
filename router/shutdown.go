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

// Shutdown is a planned stop of the process.
type Shutdown struct {
	// NoticeEnd is until when clients may not know of the stop and send as usual.
	NoticeEnd time.Time
	// Deadline is when the last requests must have ended.
	Deadline time.Time
}

// SetShutdown announces a planned stop. Attempts that may not end by its deadline are not begun, and
// their requests are refused as not run. If they were broken off later, a request that may run only
// once could not be retried, and the client would have to know where to resume a stream.
func (r *Router) SetShutdown(s Shutdown) {
	r.shutdown.Store(&s)
}

// refuseAtShutdown refuses a request before an attempt that may not end before the process stops; it
// returns nil for others. It is asked before each attempt: a body, the question for the origin of a
// stream and earlier attempts take time.
func (s *session) refuseAtShutdown(now time.Time) *refusal.Error {
	stop := s.router.shutdown.Load()
	if stop == nil || s.endsInTime(*stop, now) {
		return nil
	}
	return RefuseAtShutdown("this entry stops before the request is expected to end")
}

// endsInTime reports whether an attempt that begins now is expected to end by the deadline of a stop.
//
// During the notice other entries may not be known to the client yet, so only a request that may not
// be repeated and that usually takes longer is not begun. After it a stream is begun only if its own
// deadline ends in time, and of other requests the longest time of late decides.
func (s *session) endsInTime(stop Shutdown, now time.Time) bool {
	in := s.in
	if !in.deadline.IsZero() && !in.deadline.After(stop.Deadline) {
		return true
	}
	mean, longest, known := s.router.serviceTimes.of(in.route.Name, now)
	if now.Before(stop.NoticeEnd) {
		return !known || in.route.Repeatable() || !now.Add(mean).After(stop.Deadline)
	}
	if in.route.Kind == catalog.Stream {
		return false
	}
	if !known && in.route.Kind == catalog.Idempotent {
		longest, known = in.route.Objective, true
	}
	return known && !now.Add(longest).After(stop.Deadline)
}
