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

// Timing of the tests of older weights.
const (
	// weightsBound is how long after newer weights were acknowledged a request may start on
	// older ones.
	weightsBound = 6 * time.Second
	// eventPause is the pause between the events of a stream, so that a run outlasts the
	// bound.
	eventPause = 1300 * time.Millisecond
	// loadTime is how long loading weights takes.
	loadTime = 3 * time.Second
)

// newSlowEnv returns an environment of two runners that work on one request at a time and take
// long to load weights, with a run in progress at each.
func newSlowEnv(t *testing.T) *testEnv {
	t.Parallel()
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := newEnvWith(t, log, func(w *testEnv) {
		w.versionMS = int(weightsBound.Milliseconds())
		for _, r := range w.runners {
			r.SetPace(eventPause)
			r.SetLoading(loadTime, 1)
		}
	})
	for i := range w.runners {
		go w.sendMatch(fmt.Sprintf("run-%d", i))
		w.until("one more run has started", func() bool { return w.startedRuns() == i+1 })
	}
	return w
}

// startedRuns returns at how many runners a run has started.
func (w *testEnv) startedRuns() int {
	n := 0
	for _, r := range w.runners {
		if slices.ContainsFunc(r.Seen(), func(s runner.Seen) bool { return !s.Began.IsZero() }) {
			n++
		}
	}
	return n
}

// sendMatch sends a request that is run once, and whose client waits as long as it takes.
func (w *testEnv) sendMatch(id string) response {
	header := promptHeaders()
	header["Deadline-Ms"] = "14000"
	return w.sendTo(w.node, http.MethodPost, "/match/x", "", id, header)
}

// nameWeights names a version and returns when that was acknowledged.
func (w *testEnv) nameWeights(version int64) time.Time {
	w.store.Set("op/version/"+model, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, version))
	return time.Now()
}

// lateStarts returns the requests that started on weights older than version after the bound.
func (w *testEnv) lateStarts(version int64, named time.Time) []string {
	var late []string
	for _, r := range w.runners {
		for _, s := range r.Seen() {
			if s.BeganOn < version && s.Began.After(named.Add(weightsBound)) {
				late = append(late, fmt.Sprintf("%s at %s, %v after the weights were named", s.ID, r.ID, s.Began.Sub(named)))
			}
		}
	}
	return late
}

// runnerOf returns the runner at which a request arrived.
func (w *testEnv) runnerOf(id string) *runner.Runner {
	for _, r := range w.runners {
		for _, s := range r.Seen() {
			if s.ID == id {
				return r
			}
		}
	}
	return nil
}

// Guards against requests that start on older weights after the bound because they queue behind a run
// at a runner without an order: 0.5 s late. With an order in time, the runner refuses them unrun.
func TestNoRequestStartsOnOldWeightsAfterBound(t *testing.T) {
	w := newSlowEnv(t)
	named := w.nameWeights(2)
	w.until("a runner has its order", func() bool { return w.runners[0].Busy() || w.runners[1].Busy() })
	time.Sleep(time.Until(named.Add(weightsBound / 2)))
	ended := make(chan response, 1)
	go func() { ended <- w.sendMatch("waits") }()
	w.until("it waits at the other runner", func() bool { return w.runnerOf("waits") != nil })
	a := <-ended
	if late := w.lateStarts(2, named); len(late) > 0 {
		t.Errorf("started on older weights: %v", late)
	}
	if a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
		t.Errorf("answered %d, want 200, or 503 as it did not run", a.status)
	}
}

// Guards against a request that starts on older weights, 1.8 s after the bound, behind a run at a
// runner that ignores orders: it must be cancelled in time and its outcome reported as unknown.
func TestQueuedRequestIsCancelledAtBound(t *testing.T) {
	w := newSlowEnv(t)
	for _, r := range w.runners {
		r.SetFault(runner.DeafToOrders)
	}
	named := w.nameWeights(2)
	time.Sleep(time.Until(named.Add(weightsBound / 2)))
	a := w.sendMatch("waits")
	if late := w.lateStarts(2, named); len(late) > 0 {
		t.Errorf("started on older weights: %v", late)
	}
	if a.status != http.StatusBadGateway {
		t.Errorf("answered %d, want 502, which leaves the outcome open", a.status)
	}
}
