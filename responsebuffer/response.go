package responsebuffer

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Client is the connection to the client of one response.
type Client interface {
	// Writable reports whether the connection takes DirectBytes without blocking. It may
	// report false if that is not known.
	Writable() bool
	// Send writes and flushes bytes, and may block.
	Send(p []byte) error
	// Cut makes a blocked Send and all later ones fail and discards what the connection has
	// not sent. It does not block.
	Cut()
}

// Sizes of writes and of the buffer's chunks.
const (
	// DirectBytes is the maximum size of a write that goes directly to a writable
	// connection. The kernel reports a connection as writable while at least a third of its
	// send buffer is free, which is more than this also for the smallest buffers.
	DirectBytes = 4 << 10
	// minChunk and maxChunk bound the chunks into which small writes are copied: one event of
	// some hundred bytes must not occupy much, and a long backlog should take few
	// allocations.
	minChunk = 1 << 10
	maxChunk = 16 << 10
)

// AbortError is the error of a response that was aborted.
type AbortError struct {
	Reason Reason
	// Bytes is what the response held.
	Bytes int64
}

// Error implements error.
func (e *AbortError) Error() string {
	if e.Reason == ClientLeft {
		return "the client disconnected"
	}
	return fmt.Sprintf("the client reads too slowly: %d bytes waited for it (%s)", e.Bytes, e.Reason)
}

// errClosed is the error of a response whose request has ended.
var errClosed = errors.New("the request has ended")

// Response is the body of one response on its way to the client. Write, Finish and Close are
// called by one goroutine.
type Response struct {
	pool    *Pool
	client  Client
	ctx     context.Context
	id      string
	account account

	mu sync.Mutex
	// queue holds chunks that the client has not taken. draining is set while a goroutine
	// writes them; drained is closed when it ends.
	queue     [][]byte
	chunkSize int
	draining  bool
	drained   chan struct{}
	// err is why nothing more can be written.
	err error
	// finished is set once everything is written: the response can no longer be aborted.
	finished  bool
	stopWatch func() bool
}

// Init prepares a response of a request. ctx is the context of the client's connection: a
// cancellation without a cause of its own means that the client has disconnected. With a nil
// pool each write goes directly to the client.
func (r *Response) Init(ctx context.Context, id string, pool *Pool, client Client) {
	r.pool, r.client, r.ctx, r.id = pool, client, ctx, id
	r.account.owner = r
}

// Write sends p to the client, or holds it until the client takes more. It keeps p, which
// must not be changed afterwards. It blocks only without a pool.
func (r *Response) Write(p []byte) error {
	if r.pool == nil {
		return r.client.Send(p)
	}
	r.mu.Lock()
	if r.err != nil {
		defer r.mu.Unlock()
		return r.err
	}
	draining := r.draining
	r.mu.Unlock()
	if !draining && (len(p) == 0 || (len(p) <= DirectBytes && r.client.Writable())) {
		return r.client.Send(p)
	}
	return r.hold(p)
}

// hold appends p to the queue.
func (r *Response) hold(p []byte) error {
	chunk := p
	if len(p) <= DirectBytes {
		if p = p[r.fillTail(p):]; len(p) == 0 {
			return nil
		}
		r.chunkSize = min(maxChunk, max(minChunk, 2*r.chunkSize))
		chunk = append(make([]byte, 0, max(r.chunkSize, len(p))), p...)
	}
	kept := r.pool.add(&r.account, int64(cap(chunk)))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil || !kept {
		r.drop()
		return r.err
	}
	r.queue = append(r.queue, chunk)
	if !r.draining {
		r.draining, r.drained = true, make(chan struct{})
		if r.stopWatch == nil {
			r.stopWatch = context.AfterFunc(r.ctx, r.contextEnded)
		}
		go r.drain()
	}
	return nil
}

// fillTail copies as much of p as fits into the last chunk, and returns how much it was.
func (r *Response) fillTail(p []byte) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) == 0 || r.err != nil {
		return 0
	}
	tail := &r.queue[len(r.queue)-1]
	n := min(len(p), cap(*tail)-len(*tail))
	*tail = append(*tail, p[:n]...)
	return n
}

// drain writes the queue to the client until it is empty.
func (r *Response) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.queue) > 0 && r.err == nil {
		chunk := r.queue[0]
		r.queue[0] = nil
		r.queue = r.queue[1:]
		r.mu.Unlock()
		err := r.client.Send(chunk)
		r.pool.remove(&r.account, int64(cap(chunk)))
		r.mu.Lock()
		if r.err == nil {
			r.err = err
		}
	}
	if r.err != nil {
		r.drop()
	}
	r.draining = false
	close(r.drained)
}

// drop frees the queue; the caller holds mu.
func (r *Response) drop() int64 {
	r.queue = nil
	return r.pool.release(&r.account)
}

// Finish waits until the client has been sent everything. It returns an error if the
// response was aborted or the client has disconnected.
func (r *Response) Finish() error {
	r.awaitDrain()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = r.err == nil
	return r.err
}

func (r *Response) awaitDrain() {
	r.mu.Lock()
	draining, drained := r.draining, r.drained
	r.mu.Unlock()
	if draining {
		<-drained
	}
}

// Close ends the response and frees what it holds. The connection may be used for another
// response afterwards if Finish has returned nil before.
func (r *Response) Close() {
	if r.pool == nil {
		return
	}
	r.mu.Lock()
	if r.stopWatch != nil {
		r.stopWatch()
	}
	if r.draining && r.err == nil {
		r.client.Cut()
	}
	if r.err == nil {
		r.err = errClosed
	}
	r.mu.Unlock()
	r.awaitDrain()
}

// contextEnded frees what is held for a client that has disconnected.
func (r *Response) contextEnded() {
	if errors.Is(context.Cause(r.ctx), context.Canceled) {
		r.abort(ClientLeft, 0)
	}
}

// abort ends the response before it is complete. It has no effect on one that has ended.
func (r *Response) abort(reason Reason, held int64) {
	r.mu.Lock()
	if r.err != nil || r.finished || (reason == ClientLeft && !r.draining) {
		r.mu.Unlock()
		return
	}
	// The response still holds bytes unless the ledger aborted it.
	held = max(held, r.drop())
	r.err = &AbortError{Reason: reason, Bytes: held}
	r.client.Cut()
	r.mu.Unlock()
	r.pool.onAbort(r.id, reason, held)
}
