package fleet

import "time"

// Limit is how many requests a second a target takes from all processes together; the
// zero Limit is none.
type Limit struct {
	Named bool
	Rate  float64
}

// Notice is what a target says of itself along with an answer.
type Notice struct {
	Limit Limit
	// Unread are the names of the fields whose values say nothing.
	Unread []string
}

// LimitChange is a limit that a target named, changed or no longer names.
type LimitChange struct {
	Target      Life
	Now, Former Limit
}

// limitWord is a target's newest word on its limit.
type limitWord struct {
	Limit
	// at is when it was heard.
	at time.Time
	// requests and readings count what this process sent there since they were asked
	// for: clients' requests, and questions after cache events.
	requests, readings int
}

// Noticed takes what an answer to a request that was sent at asked says of its
// target, and reports a change of the target's limit.
func (f *Fleet) Noticed(l Life, n Notice, asked, now time.Time) (c LimitChange, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.about(l)
	if s == nil || len(n.Unread) > 0 && !n.Limit.Named {
		return LimitChange{}, false
	}
	return s.noticeLimit(n.Limit, asked, now)
}

// noticeLimit takes a word on the limit. An answer without one ends the limit only
// if it was asked for after the limit was heard: an earlier one may have been made
// before the target named it, and come late.
func (s *state) noticeLimit(l Limit, asked, now time.Time) (c LimitChange, changed bool) {
	c = LimitChange{Target: s.runner.Life(), Now: l, Former: s.limit.Limit}
	if !l.Named && (!s.limit.Named || !asked.After(s.limit.at)) {
		return c, false
	}
	s.limit.Limit, s.limit.at = l, now
	return c, c.Now != c.Former
}

// FirstUnread reports whether no word of this life was unreadable before.
func (f *Fleet) FirstUnread(l Life) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.about(l)
	if s == nil || s.unread {
		return false
	}
	s.unread = true
	return true
}

// Limit returns the limit that a target names.
func (f *Fleet) Limit(l Life) Limit {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.about(l); s != nil {
		return s.limit.Limit
	}
	return Limit{}
}

// LimitUse is what this process sent to a target with a limit.
type LimitUse struct {
	Target Life
	// Rate is the limit, in requests a second.
	Rate float64
	// Requests are clients', Readings questions after cache events.
	Requests, Readings int
}

// LimitUses returns what was sent to targets with limits since it was asked last.
func (f *Fleet) LimitUses() []LimitUse {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []LimitUse
	for _, s := range f.states {
		if s.limit.Named {
			out = append(out, LimitUse{Target: s.runner.Life(), Rate: s.limit.Rate, Requests: s.limit.requests, Readings: s.limit.readings})
		}
		s.limit.requests, s.limit.readings = 0, 0
	}
	return out
}
