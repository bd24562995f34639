package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// lateWork is how long targets take for a request.
	lateWork = 3 * time.Second
	// lateFrom is from when on requests that are whole may not end without a known outcome: ones that
	// were sent before may still run as the grace period ends.
	lateFrom = 3 * time.Second
	// lateUntil is when the last one is whole.
	lateUntil    = 7400 * time.Millisecond
	lateInterval = 200 * time.Millisecond
)

// Guards against requests that may run only once and are passed on so late in a planned stop that
// they end with an unknown outcome: clients can't repeat them.
func TestStopPassesOnNothingThatMayNotEnd(t *testing.T) {
	w := newEnv(t)
	for _, d := range w.plainTargets {
		d.SetRoom(100, lateWork)
	}
	before := w.newStop(w.node)
	before.begun = time.Now()
	before.call("before", "before", 0, fragment{text: message("POST", "/hold/x", "before", nil)})
	before.calls.Wait()
	s := w.newStop(w.node)
	s.begin()
	const body, head = "a body in two parts", "a head in two parts"
	header := map[string]string{"Deadline-Ms": "14000"}
	for whole := time.Duration(0); whole <= lateUntil; whole += lateInterval {
		id := fmt.Sprintf("body-%d", whole.Milliseconds())
		text := strings.Replace(message("POST", "/hold/x", id, header), "Content-Length: 0", "Content-Length: 4", 1)
		opened := min(whole, stopNotice-maxDelay)
		s.call(body, id, opened, fragment{text: text + "bo"}, fragment{after: whole - opened, text: "dy"})
		if whole-opened > 2500*time.Millisecond {
			continue // the head would be too late
		}
		id = fmt.Sprintf("head-%d", whole.Milliseconds())
		text = message("POST", "/hold/x", id, header)
		s.call(head, id, opened, fragment{text: text[:len(text)/2]}, fragment{after: whole - opened, text: text[len(text)/2:]})
	}
	s.end()
	for _, what := range []string{body, head} {
		s.check(what)
		for _, got := range s.results[what] {
			var ms int
			_, _ = fmt.Sscanf(got.id[5:], "%d", &ms)
			known := got.response.err != nil || got.response.status == http.StatusOK || got.response.status == http.StatusServiceUnavailable
			if time.Duration(ms)*time.Millisecond >= lateFrom && !known {
				t.Errorf("%s, whole %d ms after the stop began, got %d %q", what, ms, got.response.status, got.response.body)
			}
		}
	}
	for _, early := range s.results[head] {
		if early.id == "head-0" && early.response.status != http.StatusOK {
			t.Errorf("a request as the stop began, with time enough, got %d (%v)", early.response.status, early.response.err)
		}
	}
}
