package runner

import (
	"cmp"
	"net/http"
	"sync"
	"time"
)

// loading simulates a target on which loading weights takes time. Up to slots requests
// run at once and others wait for a slot. An order waits for the running requests or
// aborts them; requests without a first event are refused as not executed.
type loading struct {
	// load is the duration of a load; 0 switches weights immediately.
	load time.Duration
	// slots is the maximum number of concurrent requests; 0 is unlimited.
	slots int
	// busy is set while an order is being executed.
	busy bool
	// running holds the requests that occupy a slot.
	running map[*run]bool
	// waiting is the number of requests that wait for a slot.
	waiting int
	// changed is closed and replaced when a slot is released, an order begins or ends,
	// or the target restarts.
	changed chan struct{}
}

// run is a request that occupies a slot.
type run struct {
	seen int
	born int64
	// cut is closed to abort the stream, once.
	cut  chan struct{}
	once sync.Once
}

// abort ends the stream, also one that goes on without its client.
func (r *run) abort() { r.once.Do(func() { close(r.cut) }) }

// aborted returns the channel that is closed to abort the stream; nil for a run without a slot.
func (r *run) aborted() <-chan struct{} {
	if r == nil {
		return nil
	}
	return r.cut
}

// SetLoading sets the duration of a load and the number of concurrent requests.
func (r *Runner) SetLoading(load time.Duration, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load, r.slots = load, slots
}

// slotCount returns the number of slots that the target states; the caller holds mu.
func (r *Runner) slotCount() int { return cmp.Or(r.slots, 8) }

// Busy reports whether an order is being executed.
func (r *Runner) Busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.busy
}

// notifyChanged wakes all waiters for a slot, an order or the end of the running requests; the
// caller holds mu.
func (r *Runner) notifyChanged() {
	if r.changed != nil {
		close(r.changed)
	}
	r.changed = make(chan struct{})
}

// resetLoading ends the running requests and the order in progress, as a restart does; the
// caller holds mu.
func (r *Runner) resetLoading() {
	for in := range r.running {
		in.abort()
	}
	r.busy, r.running = false, map[*run]bool{}
	r.notifyChanged()
}

// acquireSlot waits for a slot. If in is nil, the request got none: refused is true if an order
// is in progress, and false if the client disconnected or the target restarted.
func (r *Runner) acquireSlot(req *http.Request, seen int) (in *run, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	born := r.born
	for r.born == born {
		if r.busy {
			r.seen[seen].Ran = false
			return nil, true
		}
		if r.slots == 0 || len(r.running) < r.slots {
			in := &run{seen: seen, born: born, cut: make(chan struct{})}
			r.running[in] = true
			return in, false
		}
		changed := r.changed
		r.waiting++
		r.mu.Unlock()
		select {
		case <-changed:
		case <-req.Context().Done():
		}
		r.mu.Lock()
		r.waiting--
		if req.Context().Err() != nil {
			break
		}
	}
	r.seen[seen].Ran = false
	return nil, false
}

// releaseSlot releases a slot.
func (r *Runner) releaseSlot(in *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[in] {
		delete(r.running, in)
		r.notifyChanged()
	}
}

// processPrompt simulates prompt processing for the duration pace. begun reports whether the first
// event may be sent; refused is set if an order arrived meanwhile. Both are false if the
// client disconnected or the target restarted.
func (r *Runner) processPrompt(req *http.Request, in *run, pace time.Duration) (begun, refused bool) {
	timer := time.NewTimer(pace)
	defer timer.Stop()
	for {
		r.mu.Lock()
		busy, same, changed := r.busy, r.born == in.born, r.changed
		r.mu.Unlock()
		if busy && same {
			r.markNotExecuted(in)
			return false, true
		}
		select {
		case <-timer.C:
			return r.begin(req, in)
		case <-changed:
		case <-req.Context().Done():
			return false, false
		}
	}
}

func (r *Runner) markNotExecuted(in *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[in.seen].Ran = false
}

// begin records the time of the first event and the weights that produce it.
func (r *Runner) begin(req *http.Request, in *run) (begun, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.born != in.born || req.Context().Err() != nil:
		return false, false
	case r.busy:
		r.seen[in.seen].Ran = false
		return false, true
	}
	seen := &r.seen[in.seen]
	seen.Began, seen.BeganOn, seen.Build = time.Now(), r.weights[req.Header.Get("Model")], r.build
	return true, false
}

// startOrder starts an accepted order: in mode truncate it aborts the running requests,
// otherwise it lets them finish, and then loads the weights; the caller holds mu.
func (r *Runner) startOrder(o Order) {
	if r.load == 0 {
		r.weights[o.Model] = o.Version
		return
	}
	r.busy = true
	if o.Mode == "truncate" {
		for in := range r.running {
			in.abort()
		}
	}
	r.notifyChanged()
	go r.finishOrder(o, r.born)
}

// finishOrder waits for the running requests, then loads the weights. It has no effect if the
// target has restarted since born.
func (r *Runner) finishOrder(o Order, born int64) {
	r.mu.Lock()
	for r.born == born && len(r.running) > 0 {
		changed := r.changed
		r.mu.Unlock()
		<-changed
		r.mu.Lock()
	}
	load := r.load
	r.mu.Unlock()
	time.Sleep(load)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.born != born {
		return
	}
	r.weights[o.Model], r.busy = o.Version, false
	r.notifyChanged()
}
