package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

// continuationCase is a stream that its targets break off once, and how its client asks for it.
type continuationCase struct {
	name string
	// prompt is set if the request has a model and a prompt.
	prompt bool
	// resumed is set if the client breaks the stream off itself first, and resumes it.
	resumed bool
}

func continuationCases() []continuationCase {
	return []continuationCase{
		{"with a prompt", true, false},
		{"with a prompt, resumed by its client", true, true},
		{"without a prompt", false, false},
		{"without a prompt, resumed by its client", false, true},
	}
}

// newRunEnv returns an environment whose streams, with and without a prompt, go to two targets that
// name the run in each event. Changes are applied to both.
func newRunEnv(t *testing.T, changes ...func(*runner.Runner)) *testEnv {
	t.Helper()
	w := newEnvWith(t, newFailureLog(t), func(w *testEnv) {
		w.streamService = "news"
		for i := range 2 {
			w.runners = append(w.runners, runner.Start(fmt.Sprintf("n%d", i), w.streamService, map[string]int64{model: 1}))
		}
		for _, r := range w.runners {
			r.SetPace(5 * time.Millisecond)
			r.NameRuns()
			r.StreamWithoutModel()
			for _, change := range changes {
				change(r)
			}
		}
	})
	w.until("the targets are known", func() bool { return len(w.node.view.fleet.Targets(w.streamService)) == 2 })
	return w
}

// play begins the stream, resumes it if the case says so, and returns all that the client got and
// the response to its last attempt.
func (c continuationCase) play(w *testEnv) (received string, last response) {
	w.t.Helper()
	r := streamRequest("begun", 1)
	if !c.prompt {
		r.Prompt = nil
	}
	if c.resumed {
		received = w.beginAndAbandon(w.node, r)
		r.ID, r.Resumes, r.LastEventID = "resumed", "begun", "2"
	}
	runner.BreakNext(w.runners)
	last = w.exchange(w.node, r)
	return received + last.body, last
}

// Guards against pieces of two runs in one stream: the target that continues it is not told after
// which event, or only what the client had asked for itself, and begins anew.
func TestBrokenStreamGoesOnAfterItsLastEvent(t *testing.T) {
	for _, c := range continuationCases() {
		t.Run(c.name, func(t *testing.T) {
			received, last := c.play(newRunEnv(t))
			if last.err != nil || last.status != http.StatusOK {
				t.Errorf("status %d, error %v", last.status, last.err)
			}
			if n, err := runner.JudgeRuns(received); err != nil || n != runner.Events {
				t.Errorf("%d pieces, %v:\n%s", n, err, received)
			}
		})
	}
}

// Guards against pieces of two runs in one stream whose target begins it anew although it is told
// after which event to continue: its response is not passed on as complete, whoever resumed.
func TestStreamBegunAnewIsNotJoined(t *testing.T) {
	for _, c := range continuationCases() {
		t.Run(c.name, func(t *testing.T) {
			w := newRunEnv(t, (*runner.Runner).IgnoreLastEventID)
			received, last := c.play(w)
			if last.err == nil && last.status == http.StatusOK {
				t.Errorf("the last response counts as complete: %s", last.body)
			}
			if c.resumed && last.status != http.StatusBadGateway {
				t.Errorf("the client that resumes gets status %d, want 502", last.status)
			}
			if n, err := runner.JudgeRuns(received); err != nil || n != 2 {
				t.Errorf("%d pieces, %v:\n%s", n, err, received)
			}
		})
	}
}

// Guards against a stream that is continued after an event that no target can be told: its last
// events have no ID, so that another target begins anew or repeats them.
func TestStreamAfterUnnumberedEventIsNotContinued(t *testing.T) {
	for _, first := range []int{1, 2} {
		t.Run(fmt.Sprintf("from event %d on", first), func(t *testing.T) {
			w := newRunEnv(t, func(r *runner.Runner) { r.OmitEventIDs(first) })
			received, last := continuationCase{}.play(w)
			if last.err == nil {
				t.Errorf("status %d, counts as complete", last.status)
			}
			if n, err := runner.JudgeRuns(received); err != nil || n != 2 {
				t.Errorf("%d pieces, %v:\n%s", n, err, received)
			}
		})
	}
}
