package sharing

import "time"

// maxRefused bounds the refused requests that are remembered. An entry of the two
// deployments in docs/design/scarce-capacity.md refuses less than 100 per second, and
// their clients retry within 5 s.
const maxRefused = 2048

// refusedRetention is how long after its retry time a refused request is remembered.
const refusedRetention = 5 * time.Second

// retryTolerance is by how much a retry may be early: clients round the time, and their
// clocks run at slightly different rates.
const retryTolerance = 20 * time.Millisecond

// Content identifies a request by what it asks for; all repetitions have the same.
type Content [16]byte

// refusedTable remembers when refused requests were told to retry. The oldest are dropped
// first.
type refusedTable struct {
	retryAt map[Content]time.Time
	order   []Content
	next    int
}

// add remembers a refused request.
func (t *refusedTable) add(c Content, retryAt time.Time) {
	if t.retryAt == nil {
		t.retryAt = map[Content]time.Time{}
		t.order = make([]Content, maxRefused)
	}
	if _, known := t.retryAt[c]; !known {
		delete(t.retryAt, t.order[t.next])
		t.order[t.next] = c
		t.next = (t.next + 1) % maxRefused
	}
	t.retryAt[c] = retryAt
}

// lookup returns when a request that was refused may retry.
func (t *refusedTable) lookup(c Content, now time.Time) (retryAt time.Time, ok bool) {
	retryAt, ok = t.retryAt[c]
	return retryAt, ok && now.Sub(retryAt) <= refusedRetention
}

// remove forgets a request that was admitted. Its place in the order is reused later.
func (t *refusedTable) remove(c Content) {
	delete(t.retryAt, c)
}
