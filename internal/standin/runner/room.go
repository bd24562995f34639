package runner

import (
	"net/http"
	"time"
)

// room is how many requests a target runs at once before it refuses further ones.
type room struct {
	// most is the number of requests; 0 is unlimited. inside counts those that are running.
	most, inside int
	// work is how long a plain request takes.
	work time.Duration
}

// SetRoom makes the target refuse requests without executing them while it runs n, whatever
// number of slots it states, as one with a full memory does; 0 refuses none. Plain requests take
// the duration work.
func (r *Runner) SetRoom(n int, work time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room.most, r.room.work = n, work
}

// isFull reports whether no more requests may run; the caller holds mu.
func (r *Runner) isFull() bool { return r.room.most > 0 && r.room.inside >= r.room.most }

func (r *Runner) leaveRoom() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room.inside--
}

// workPlain waits while a plain request runs, or until its client disconnects.
func (r *Runner) workPlain(req *http.Request) {
	r.mu.Lock()
	work := r.room.work
	r.mu.Unlock()
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-req.Context().Done():
	}
}

// NotRun returns how many requests the target did not execute.
func (r *Runner) NotRun() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.seen {
		if !s.Ran {
			n++
		}
	}
	return n
}
