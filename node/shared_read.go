package node

import (
	"context"
	"sync"
)

// sharedRead lets requests share reads of the store. Those who ask during a read wait for the next
// one, which begins after they asked: what it brings is not older than their question.
type sharedRead struct {
	read func() error

	mu            sync.Mutex
	running, next *readCall
}

// readCall is one read. err is set before done is closed.
type readCall struct {
	done chan struct{}
	err  error
}

// do returns once a read has ended that began after the call.
func (r *sharedRead) do(ctx context.Context) error {
	r.mu.Lock()
	if r.next == nil {
		r.next = &readCall{done: make(chan struct{})}
	}
	call := r.next
	if r.running == nil {
		r.begin()
	}
	r.mu.Unlock()
	select {
	case <-call.done:
		return call.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// begin begins the next read, if any; the caller holds mu.
func (r *sharedRead) begin() {
	if r.running, r.next = r.next, nil; r.running == nil {
		return
	}
	go func(call *readCall) {
		call.err = r.read()
		close(call.done)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.begin()
	}(r.running)
}
