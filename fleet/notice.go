package fleet

import "time"

// Notice is what a target states about itself in a response.
type Notice struct {
	Limit Limit
	// LimitMalformed is set if it declared a limit that can't be parsed.
	LimitMalformed bool
	// ShuttingDown is set if the target takes no new requests and will end.
	ShuttingDown bool
	// Backoff is for how long the target wants no more requests from the process that it
	// answered.
	Backoff time.Duration
	// Malformed are the names of the fields whose values can't be parsed.
	Malformed []string
}

// Receive records the limit in the response to a request that was sent at sentAt, and
// reports a change of the target's limit.
func (f *Fleet) Receive(l Instance, n Notice, sentAt, now time.Time) (c LimitChange, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.lookup(l)
	if s == nil || n.LimitMalformed && !n.Limit.Declared {
		return LimitChange{}, false
	}
	// A response without a limit lifts it only if its request was sent after the limit
	// was declared: an earlier one may have been written before, and arrive late.
	if !n.Limit.Declared && (!s.limit.Declared || !sentAt.After(s.limit.declaredAt)) {
		return LimitChange{}, false
	}
	s.limit.observedAt = now
	return f.setLimit(s, n.Limit, now)
}

// RecordMalformed records that a field of a notice could not be parsed, and reports
// whether it is the first one of the instance.
func (f *Fleet) RecordMalformed(l Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.lookup(l)
	if s == nil || s.malformed {
		return false
	}
	s.malformed = true
	return true
}
