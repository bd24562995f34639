package node

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"acaciakeel/internal/standin/runner"
)

// foreignResponse returns a response with a status and header lines, which names another request
// unless header does.
func foreignResponse(status int, header ...string) string {
	if !slices.ContainsFunc(header, func(line string) bool { return strings.HasPrefix(line, "Request-Id:") }) {
		header = append(header, "Request-Id: other")
	}
	return fmt.Sprintf("HTTP/1.1 %d Foreign\r\n%s\r\nContent-Length: 0\r\n\r\n", status, strings.Join(header, "\r\n"))
}

func foreignResponses() map[string]string {
	const notRun, retryAfter = "Not-Executed: 1", "Retry-After: 1"
	out := map[string]string{
		"421":                                foreignResponse(421),
		"421 not run":                        foreignResponse(421, notRun),
		"421 of another target":              foreignResponse(421, "Instance-Id: i-other"),
		"421 of another target, without ID":  foreignResponse(421, "Instance-Id: i-other", "Request-Id:"),
		"421 of other weights":               foreignResponse(421, notRun, "Weight-Versions: 9"),
		"500":                                foreignResponse(500),
		"502":                                foreignResponse(502),
		"404":                                foreignResponse(404),
		"401":                                foreignResponse(401),
		"200":                                foreignResponse(200, "Response-Seal: s"),
		"200 not run":                        foreignResponse(200, "Response-Seal: s", notRun),
		"204":                                foreignResponse(204, "Response-Seal: s"),
		"503 with an ID of a kilobyte":       foreignResponse(503, notRun, "Request-Id: "+strings.Repeat("x", 1024)),
		"503 that closes":                    foreignResponse(503, notRun, "Connection: close"),
		"503 with a load":                    foreignResponse(503, notRun, "Server-Load: 8,90,8"),
		"a status line without its end":      "HTTP/1.1 503 Fore",
		"a header line without its end":      "HTTP/1.1 503 Foreign\r\nNot-Executed: 1\r\nServer-Load: 1,",
		"half of an ID":                      "HTTP/1.1 503 Foreign\r\nNot-Executed: 1\r\nRequest-Id: oth",
		"half of a name":                     "HTTP/1.1 503 Foreign\r\nNot-Executed: 1\r\nContent-Le",
		"ten of 503":                         strings.Repeat(foreignResponse(503, notRun), 10),
		"100 and then 503":                   "HTTP/1.1 100 Continue\r\n\r\n" + foreignResponse(503, notRun),
		"503 of a leaving target":            foreignResponse(503, notRun, "Server-Leaving: 1"),
		"response to a call, in its framing": "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
	}
	for _, status := range []int{400, 408, 429, 503} {
		out[fmt.Sprint(status)] = foreignResponse(status, notRun)
		out[fmt.Sprint(status, " with Retry-After")] = foreignResponse(status, notRun, retryAfter)
		out[fmt.Sprint(status, " without ID")] = foreignResponse(status, notRun, "Request-Id:")
		out[fmt.Sprint(status, " without the header of the ID")] = fmt.Sprintf("HTTP/1.1 %d Foreign\r\n%s\r\nContent-Length: 0\r\n\r\n", status, notRun)
	}
	return out
}

// Guards against a late response to another request that counts as the answer to the waiting
// one: a refusal made a request that may run once run at two targets.
func TestForeignResponseIsNotTakenForTheAnswer(t *testing.T) {
	routes := []struct {
		path       string
		headers    map[string]string
		targets    func(w *testEnv) []*runner.Runner
		repeatable bool
		body       func(id string) string
	}{
		{"/hold/x", nil, func(w *testEnv) []*runner.Runner { return w.plainTargets }, false, func(id string) string { return "answer to " + id }},
		{"/stock/x", nil, func(w *testEnv) []*runner.Runner { return w.plainTargets }, true, func(id string) string { return "answer to " + id }},
		{"/match/x", promptHeaders(), func(w *testEnv) []*runner.Runner { return w.runners }, false, func(string) string { return completeStream() }},
		{"/draft/x", promptHeaders(), func(w *testEnv) []*runner.Runner { return w.runners }, true, func(string) string { return completeStream() }},
	}
	for name, foreign := range foreignResponses() {
		t.Run(name, func(t *testing.T) {
			w := newEnv(t)
			for _, route := range routes {
				targets := route.targets(w)
				send := func(id string) response { return w.sendTo(w.node, "POST", route.path, "body", id, route.headers) }
				// Each target gets a connection that has carried a response.
				for i := range 4 {
					send(fmt.Sprintf("before-%d-%s", i, route.path))
				}
				for _, target := range targets {
					target.SendAhead(foreign)
				}
				sent := lateSent(targets)
				id := "id-" + route.path
				got := send(id)
				if lateSent(targets) == sent {
					t.Fatalf("%s: no foreign response was sent", route.path)
				}
				runs := 0
				for _, run := range w.executed(targets) {
					if run.ID == id {
						runs++
					}
				}
				promises := slices.Contains([]int{408, 421, 429, 503}, got.status)
				if runs > 1 && !route.repeatable || promises && runs > 0 {
					t.Errorf("%s: ran %d times, answered %d %q (%v)", route.path, runs, got.status, got.body, got.err)
				}
				if got.status == http.StatusOK && got.body != route.body(id) || got.status != http.StatusOK && got.status != http.StatusBadGateway {
					t.Errorf("%s: answered %d %q (%v), want its own answer or 502", route.path, got.status, got.body, got.err)
				}
				for _, target := range targets {
					target.SendAhead("")
				}
				// Nothing of the foreign response concerns the target, nor the requests after it.
				for i := range 4 {
					after := fmt.Sprintf("after-%d-%s", i, route.path)
					if got := send(after); got.status != http.StatusOK || got.body != route.body(after) {
						t.Errorf("%s: a request after it got %d %q (%v)", route.path, got.status, got.body, got.err)
					}
				}
				if n := len(w.node.view.fleet.Targets(targets[0].Service)); n != len(targets) {
					t.Errorf("%s: the node knows %d targets, want %d", route.path, n, len(targets))
				}
			}
		})
	}
}

func lateSent(targets []*runner.Runner) int {
	n := 0
	for _, target := range targets {
		n += target.LateSent()
	}
	return n
}
