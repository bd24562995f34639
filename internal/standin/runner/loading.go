package runner

import (
	"net/http"
	"time"
)

// loading is how a target works where loads of weights take time: so many requests
// run at once and others wait for a slot, and an order waits for the runs, or cuts
// them off, and refuses unrun whatever has not begun.
type loading struct {
	// load is the time that a load takes; 0 is none, and any number runs at once.
	load time.Duration
	// slots is how many requests run at once; 0 is any number.
	slots int
	// busy is set while an order is carried out.
	busy bool
	// running are the requests that hold a slot.
	running map[*run]bool
	// changed is closed when a slot or an order has ended, or an order has begun.
	changed chan struct{}
}

// run is one request that holds a slot.
type run struct {
	seen int
	born int64
	// cut is closed when its stream is to be reset.
	cut chan struct{}
}

// SetLoading has loads of weights take a time, and so many requests run at once.
func (r *Runner) SetLoading(load time.Duration, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load, r.slots = load, slots
}

// Busy reports whether an order is being carried out.
func (r *Runner) Busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.busy
}

// turned wakes whoever waits for a slot or for the end of the runs; the caller holds mu.
func (r *Runner) turned() {
	if r.changed != nil {
		close(r.changed)
	}
	r.changed = make(chan struct{})
}

// idle forgets what ran and what was being loaded, as the end of a life does; the
// caller holds mu.
func (r *Runner) idle() {
	r.busy, r.running = false, map[*run]bool{}
	r.turned()
}

// enter waits for a slot. Where the request gets none, in is nil, and refused says
// whether the target refuses it unrun; else its caller left.
func (r *Runner) enter(req *http.Request, seen int) (in *run, refused bool) {
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
		r.mu.Unlock()
		select {
		case <-changed:
		case <-req.Context().Done():
		}
		r.mu.Lock()
		if req.Context().Err() != nil {
			break
		}
	}
	r.seen[seen].Ran = false
	return nil, false
}

// leave gives a slot back.
func (r *Runner) leave(in *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[in] {
		delete(r.running, in)
		r.turned()
	}
}

// read waits for as long as a request's prompt takes, and reports whether its first
// event may come then: neither if an order came meanwhile, nor if its caller left.
func (r *Runner) read(req *http.Request, in *run, pace time.Duration) (begun, refused bool) {
	timer := time.NewTimer(pace)
	defer timer.Stop()
	for {
		r.mu.Lock()
		busy, same, changed := r.busy, r.born == in.born, r.changed
		r.mu.Unlock()
		if busy && same {
			r.unrun(in)
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

func (r *Runner) unrun(in *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[in.seen].Ran = false
}

// begin notes the first event, and on which weights it comes.
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
	seen.Began, seen.BeganOn = time.Now(), r.weights[req.Header.Get("Model")]
	return true, false
}

// carryOut has an accepted order end the runs or cut them off, and load; the caller
// holds mu.
func (r *Runner) carryOut(o Order) {
	if r.load == 0 {
		r.weights[o.Model] = o.Version
		return
	}
	r.busy = true
	if o.Mode == "truncate" {
		for in := range r.running {
			close(in.cut)
		}
	}
	r.turned()
	go r.finish(o, r.born)
}

// finish waits for the runs of a life and loads.
func (r *Runner) finish(o Order, born int64) {
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
	r.turned()
}
