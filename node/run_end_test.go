package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

// unfinishedRun is a way in which an attempt ends while its target works on the request.
type unfinishedRun struct {
	fault runner.Fault
	// ahead is sent ahead of the response on a connection that has carried others.
	ahead string
}

// unfinishedRuns are those of streams that may be resumed.
func unfinishedRuns() map[string]unfinishedRun {
	return map[string]unfinishedRun{
		"a response to another request":        {ahead: "HTTP/1.1 200 OK\r\nRequest-Id: another\r\nContent-Length: 0\r\n\r\n"},
		"a refusal of another request":         {ahead: "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: another\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
		"a refusal that names no request":      {ahead: "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
		"bytes that are no response":           {ahead: "garbage\r\n\r\n"},
		"a response with another request's ID": {fault: runner.Crossed},
		"a response without a seal":            {fault: runner.Unsealed},
	}
}

// runEndPace has a stream last for over a second.
const runEndPace = 180 * time.Millisecond

// Guards against a stream that goes on at a second engine while the first one, which does not notice
// that its connection has closed, works on.
func TestStreamGoesOnOnlyAfterItsRunHasEnded(t *testing.T) {
	for name, how := range unfinishedRuns() {
		for _, deaf := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/deaf=%v", name, deaf), func(t *testing.T) {
				w := newEnv(t)
				for i := range 8 {
					// Each target gets a connection that has carried a response.
					w.sendTo(w.node, "POST", "/draft/x", "", fmt.Sprintf("before-%d", i), promptHeaders())
				}
				for _, r := range w.runners {
					r.SetPace(runEndPace)
					if deaf {
						r.IgnoreDisconnects()
					}
				}
				const id = "unfinished"
				w.spoilFirst(id, how)
				got := w.sendTo(w.node, "POST", "/draft/x", "", id, promptHeaders())
				if got.err == nil && got.status == http.StatusOK && got.body != completeStream() {
					t.Errorf("answered 200 %q", got.body)
				}
				if !deaf && (got.err != nil || got.status != http.StatusOK) {
					t.Errorf("the target notices closed connections: answered %d %q (%v), want the stream of the other", got.status, got.body, got.err)
				}
				w.until("the runs end", func() bool { return w.working() == 0 })
				for _, o := range runner.Overlaps(w.runners, resendAllowed) {
					t.Error(o)
				}
			})
		}
	}
}

// spoilFirst has the run of a request end in a way at the first engine that gets it.
func (w *testEnv) spoilFirst(id string, how unfinishedRun) {
	set := func(how unfinishedRun) {
		for _, r := range w.runners {
			r.SetFault(how.fault)
			r.SendAhead(how.ahead)
		}
	}
	set(how)
	go func() {
		w.until("an engine gets the request", func() bool {
			for _, s := range w.executed(w.runners) {
				if s.ID == id {
					return true
				}
			}
			return false
		})
		set(unfinishedRun{})
	}()
}

// working returns how many requests engines work on.
func (w *testEnv) working() int {
	n := 0
	for _, s := range w.executed(w.runners) {
		if s.Ended.IsZero() {
			n++
		}
	}
	return n
}
