package fleet

import "time"

// Notice is what a target says of itself along with an answer.
type Notice struct {
	Limit Limit
	// LimitMalformed is set where it named a limit that can't be read.
	LimitMalformed bool
	// ShuttingDown is set where the target takes no new work and will end.
	ShuttingDown bool
	// Backoff is for how long the target wants nothing more of whom it answered so.
	Backoff time.Duration
	// Malformed are the names of the fields whose values say nothing.
	Malformed []string
}

// Receive takes what an answer to a request that was sent at asked says of its
// target, and reports a change of the target's limit.
func (f *Fleet) Receive(l Instance, n Notice, asked, now time.Time) (c LimitChange, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.about(l)
	if s == nil || n.LimitMalformed && !n.Limit.Declared {
		return LimitChange{}, false
	}
	// An answer without a limit ends it only if it was asked for after the limit was
	// heard: an earlier one may have been made before the target named it, and come late.
	if !n.Limit.Declared && (!s.limit.Declared || !asked.After(s.limit.at)) {
		return LimitChange{}, false
	}
	s.limit.metAt = now
	return f.setLimit(s, n.Limit, now)
}

// RecordMalformed reports whether no word of this life was unreadable before.
func (f *Fleet) RecordMalformed(l Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.about(l)
	if s == nil || s.unread {
		return false
	}
	s.unread = true
	return true
}
