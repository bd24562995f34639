package fleet

import "time"

// Notice is what a target says of itself along with an answer.
type Notice struct {
	Limit Limit
	// LimitUnread is set where it named a limit that can't be read.
	LimitUnread bool
	// Leaving is set where the target takes no new work and will end.
	Leaving bool
	// Rest is for how long the target wants nothing more of whom it answered so.
	Rest time.Duration
	// Unread are the names of the fields whose values say nothing.
	Unread []string
}

// Noticed takes what an answer to a request that was sent at asked says of its
// target, and reports a change of the target's limit.
func (f *Fleet) Noticed(l Instance, n Notice, asked, now time.Time) (c LimitChange, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.about(l)
	if s == nil || n.LimitUnread && !n.Limit.Named {
		return LimitChange{}, false
	}
	// An answer without a limit ends it only if it was asked for after the limit was
	// heard: an earlier one may have been made before the target named it, and come late.
	if !n.Limit.Named && (!s.limit.Named || !asked.After(s.limit.at)) {
		return LimitChange{}, false
	}
	s.limit.metAt = now
	return f.setLimit(s, n.Limit, now)
}

// FirstUnread reports whether no word of this life was unreadable before.
func (f *Fleet) FirstUnread(l Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.about(l)
	if s == nil || s.unread {
		return false
	}
	s.unread = true
	return true
}
