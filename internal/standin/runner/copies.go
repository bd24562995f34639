package runner

import (
	"bytes"
	"sync/atomic"
)

// copies are refusals that a target sends once more, ahead of the next response on their connection.
type copies struct {
	// every is which refusal that a request follows on its connection is copied; 0 is none.
	// followed counts them.
	every, followed int
	// sent counts the copies, sameID those with the ID of the request whose response they precede,
	// sameRan those of the latter whose request ran. They are atomic as some responses are written
	// by a holder of the target's mutex.
	sent, sameID, sameRan atomic.Int64
}

// CopyRefusals has the target send each n-th refusal once more where the next response on its
// connection is expected; 0 stops it. Other responses are not copied.
func (r *Runner) CopyRefusals(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late.copies.every = n
}

// Copies counts the copies of refusals that a target has sent.
type Copies struct {
	// Sent are all, SameID those with the ID of the request that was under way, SameRan those of
	// the latter whose request ran.
	Sent, SameID, SameRan int
}

// Copies returns the copies of refusals that the target has sent.
func (r *Runner) Copies() Copies {
	c := &r.late.copies
	return Copies{int(c.sent.Load()), int(c.sameID.Load()), int(c.sameRan.Load())}
}

// Connections returns how many connections have carried a request or a call.
func (r *Runner) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.late.opened
}

// takeCopy returns the copy that precedes the response to a request with the given ID, if any.
func (r *Runner) takeCopy(last exchange, id string) ahead {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.late.copies
	if c.every == 0 || !isRefusal(last.response) {
		return ahead{}
	}
	c.followed++
	if c.followed%c.every != 0 {
		return ahead{}
	}
	return ahead{bytes: last.response, sent: func(response []byte) { c.count(last.id == id, !isRefusal(response)) }}
}

func (c *copies) count(sameID, ran bool) {
	c.sent.Add(1)
	if !sameID {
		return
	}
	c.sameID.Add(1)
	if ran {
		c.sameRan.Add(1)
	}
}

// isRefusal reports whether a response states that the request did not run; a 421 does so by its
// status.
func isRefusal(response []byte) bool {
	return bytes.HasPrefix(response, []byte("HTTP/1.1 421 ")) || bytes.Contains(response, []byte("\r\nNot-Executed:"))
}
