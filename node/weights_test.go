package node

import (
	"fmt"
	"io"

	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/internal/standin/runner"
)

// Figures of the tests of older weights.
const (
	// bound is for how long after newer weights were acknowledged a request may
	// begin on older ones.
	bound = 6 * time.Second
	// slowPace is the pause between the events of a stream: a run outlasts the bound.
	slowPace = 1300 * time.Millisecond
	// loadTime is what a load takes.
	loadTime = 3 * time.Second
)

// newSlowWorld returns a world of two runners that work on one request at a time
// and take long to load, with a run at each.
func newSlowWorld(t *testing.T) *world {
	t.Parallel()
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := newWorldWith(t, log, func(w *world) {
		w.versionMS = int(bound.Milliseconds())
		for _, r := range w.runners {
			r.SetPace(slowPace)
			r.SetLoading(loadTime, 1)
		}
	})
	for i := range w.runners {
		go w.match(fmt.Sprintf("run-%d", i))
		w.until("one more run has begun", func() bool { return w.begun() == i+1 })
	}
	return w
}

// begun returns at how many runners a run has begun.
func (w *world) begun() int {
	n := 0
	for _, r := range w.runners {
		if slices.ContainsFunc(r.Seen(), func(s runner.Seen) bool { return !s.Began.IsZero() }) {
			n++
		}
	}
	return n
}

// match sends a request that is run once, and whose client waits for as long as it
// takes.
func (w *world) match(id string) answer {
	header := prompt()
	header["Deadline-Ms"] = "14000"
	return w.sendTo(w.node, http.MethodPost, "/match/x", "", id, header)
}

// nameWeights names a version and returns when that was acknowledged.
func (w *world) nameWeights(version int64) time.Time {
	w.store.Set("op/version/"+model, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, version))
	return time.Now()
}

// beganLate returns the requests that began on weights older than version after the
// bound on them.
func (w *world) beganLate(version int64, named time.Time) []string {
	var late []string
	for _, r := range w.runners {
		for _, s := range r.Seen() {
			if s.BeganOn < version && s.Began.After(named.Add(bound)) {
				late = append(late, fmt.Sprintf("%s at %s, %v after the naming", s.ID, r.ID, s.Began.Sub(named)))
			}
		}
	}
	return late
}

// seenAt returns the runner at which a request arrived.
func (w *world) seenAt(id string) *runner.Runner {
	for _, r := range w.runners {
		for _, s := range r.Seen() {
			if s.ID == id {
				return r
			}
		}
	}
	return nil
}

// Work ran on weights that were replaced longer ago than the bound allows. One
// runner had its order, which waited for its runs and held the only place; the
// other had none, as the rollout knew no deadline. A request that was sent there in time
// waited behind a run and began 0.5 s after the bound; with an order before the bound
// the runner refuses it unrun, and its client is told so.
func TestNothingWaitsBeyondTheBoundOnOlderWeights(t *testing.T) {
	w := newSlowWorld(t)
	named := w.nameWeights(2)
	w.until("a runner has its order", func() bool { return w.runners[0].Busy() || w.runners[1].Busy() })
	time.Sleep(time.Until(named.Add(bound / 2)))
	ended := make(chan answer, 1)
	go func() { ended <- w.match("waits") }()
	w.until("it waits at the other runner", func() bool { return w.seenAt("waits") != nil })
	a := <-ended
	if late := w.beganLate(2, named); len(late) > 0 {
		t.Errorf("began on older weights: %v", late)
	}
	if a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
		t.Errorf("answered %d, want 200, or 503 as it did not run", a.status)
	}
}

// Work ran on weights that were replaced longer ago than the bound allows, and nothing
// had made the runner refuse what waited there: it answers no order and carries none
// out. The check was at the sending and the bound is at the beginning; a run behind
// another began 1.8 s after the bound, sent in time. Taken back before, its client
// must be told that nobody knows whether it ran.
func TestWhatWaitsIsTakenBackAtTheBound(t *testing.T) {
	w := newSlowWorld(t)
	for _, r := range w.runners {
		r.SetFault(runner.DeafToOrders)
	}
	named := w.nameWeights(2)
	time.Sleep(time.Until(named.Add(bound / 2)))
	a := w.match("waits")
	if late := w.beganLate(2, named); len(late) > 0 {
		t.Errorf("began on older weights: %v", late)
	}
	if a.status != http.StatusBadGateway {
		t.Errorf("answered %d, want 502, which promises nothing", a.status)
	}
}
