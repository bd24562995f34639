// Package responsebuffer decouples reading a response from its target and writing it to its
// client. What a client has not taken yet is held in memory, bounded for each response and
// for all of the process, so that a client that reads slowly does not stop the entry from
// reading. Beyond a limit a response is aborted.
//
// While the client keeps up, a write goes directly to its connection: no byte is copied and
// no goroutine runs. Otherwise one goroutine per response writes what is held.
package responsebuffer

import "sync"

// Pool holds the responses of a process that wait for their clients. It is safe for
// concurrent use.
type Pool struct {
	// onAbort is called after a response was aborted.
	onAbort func(id string, reason Reason, bytes int64)

	mu     sync.Mutex
	ledger *ledger
}

// NewPool returns a pool. onAbort is called with the request ID of each response that is
// aborted, the reason and the bytes that it held.
func NewPool(l Limits, onAbort func(id string, reason Reason, bytes int64)) *Pool {
	return &Pool{onAbort: onAbort, ledger: newLedger(l)}
}

// Usage returns what is held now.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.usage()
}

// add counts bytes that a response is about to hold and aborts the responses that exceed a
// limit. It reports whether the response itself may hold them. The caller holds no lock of a
// response.
func (p *Pool) add(a *account, n int64) bool {
	p.mu.Lock()
	aborted := p.ledger.add(a, n)
	reason := a.aborted
	p.mu.Unlock()
	for _, victim := range aborted {
		victim.account.owner.abort(victim.reason, victim.bytes)
	}
	if reason == "" {
		return true
	}
	// Another response may have decided this one's abort and not carried it out yet.
	a.owner.abort(reason, n)
	return false
}

func (p *Pool) remove(a *account, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.remove(a, n)
}

// release frees all that a response holds and returns how much it was.
func (p *Pool) release(a *account) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := a.bytes
	p.ledger.release(a)
	return held
}
