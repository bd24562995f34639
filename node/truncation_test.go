package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

// targetDowntime is how long a target that crashes is down.
const targetDowntime = 400 * time.Millisecond

// truncationEnv is an environment whose targets frame their responses in one way.
func newTruncationEnv(t *testing.T, framing runner.Framing) *testEnv {
	t.Helper()
	w := newEnv(t)
	for _, r := range append(w.runners, w.plainTargets...) {
		r.SetFraming(framing)
		r.SetPace(5 * time.Millisecond)
		r.CrashOn("", 0, targetDowntime)
	}
	return w
}

// truncatedRoute is a route and what its client gets of a truncated response.
type truncatedRoute struct {
	path    string
	targets func(w *testEnv) []*runner.Runner
	headers map[string]string
	check   func(t *testing.T, id string, got response)
}

// wholeEvents is what precedes the truncation of a stream.
func wholeEvents(at runner.TruncationPoint) string {
	if at == runner.BeforeBody {
		return ""
	}
	return runner.Event(1, 0) + runner.Event(2, 0)
}

func truncatedRoutes(at runner.TruncationPoint) []truncatedRoute {
	models := func(w *testEnv) []*runner.Runner { return w.runners }
	plain := func(w *testEnv) []*runner.Runner { return w.plainTargets }
	complete := func(want func(id string) string) func(*testing.T, string, response) {
		return func(t *testing.T, id string, got response) {
			if got.err != nil || got.status != http.StatusOK || got.body != want(id) {
				t.Errorf("%s got %d %q (%v), want the complete response", id, got.status, got.body, got.err)
			}
		}
	}
	return []truncatedRoute{
		{"/draft/x", models, promptHeaders(), complete(func(string) string { return completeStream() })},
		{"/match/x", models, promptHeaders(), func(t *testing.T, id string, got response) {
			failed := got.status == http.StatusBadGateway && at == runner.BeforeBody
			if got.err == nil && !failed || got.err != nil && got.body != wholeEvents(at) {
				t.Errorf("%s got %d %q (%v), want the whole events and then an error", id, got.status, got.body, got.err)
			}
		}},
		{"/stock/x", plain, nil, complete(func(id string) string { return "answer to " + id })},
		{"/hold/x", plain, nil, func(t *testing.T, id string, got response) {
			if got.status != http.StatusBadGateway || got.err != nil {
				t.Errorf("%s got %d %q (%v), want 502", id, got.status, got.body, got.err)
			}
		}},
	}
}

// Guards against a response that a target broke off and that reaches its client as complete:
// each way to frame it, to break it off and to route it.
func TestTruncatedResponsesAreNotComplete(t *testing.T) {
	for _, framing := range []runner.Framing{runner.Chunked, runner.Sized, runner.UntilClose} {
		for _, how := range []runner.Truncation{
			{At: runner.InsideEvent, By: runner.ByClose},
			{At: runner.InsideEvent, By: runner.ByReset},
			{At: runner.InsideEvent, By: runner.ByCrash},
			{At: runner.BetweenEvents, By: runner.ByClose},
			{At: runner.BetweenEvents, By: runner.ByReset},
			{At: runner.BetweenEvents, By: runner.ByCrash},
			{At: runner.BeforeBody, By: runner.ByClose},
			{At: runner.BeforeBody, By: runner.ByCrash},
		} {
			t.Run(fmt.Sprintf("%s/%s_%s", framing, how.At, how.By), func(t *testing.T) {
				w := newTruncationEnv(t, framing)
				for _, route := range truncatedRoutes(how.At) {
					if framing == runner.UntilClose && how.By == runner.ByClose && (how.At == runner.BetweenEvents || route.headers == nil) {
						// A target that ends such a response in order and goes on to serve
						// has completed it.
						continue
					}
					truncated := runner.TruncateNext(route.targets(w), how)
					id := "id-" + route.path
					got := w.sendTo(w.node, "POST", route.path, "body", id, route.headers)
					if !truncated() {
						t.Errorf("%s: no response was truncated; the client got %d %q (%v)", id, got.status, got.body, got.err)
					}
					route.check(t, id, got)
				}
			})
		}
	}
}

// Guards against whole responses without a length or chunks that are taken for truncated.
func TestUnframedResponsesAreServed(t *testing.T) {
	w := newTruncationEnv(t, runner.UntilClose)
	for i := range 10 {
		id := fmt.Sprintf("plain-%d", i)
		for _, path := range []string{"/stock/x", "/hold/x"} {
			if a := w.sendTo(w.node, "POST", path, "body", id, nil); a.err != nil || a.status != http.StatusOK || a.body != "answer to "+id {
				t.Errorf("%s got %d %q (%v)", path, a.status, a.body, a.err)
			}
		}
		for _, path := range []string{"/draft/x", "/match/x"} {
			if a := w.sendTo(w.node, "POST", path, "body", fmt.Sprintf("stream-%d", i), promptHeaders()); a.err != nil || a.status != http.StatusOK || a.body != completeStream() {
				t.Errorf("%s got %d %q (%v)", path, a.status, a.body, a.err)
			}
		}
	}
}
