package node

import (
	"fmt"
	"maps"
	"net/http"
	"testing"
	"time"
)

// Guards against a request that no deadline ends: a target sends the copy of a refusal in place of
// the answer, and never the answer.
func TestCopyInPlaceOfTheAnswerEndsInTime(t *testing.T) {
	const deadline = time.Second
	w, routes := newRawEnv(t)
	for _, route := range routes {
		t.Run(route.path, func(t *testing.T) {
			copies := func() int {
				n := 0
				for _, target := range route.targets {
					n += target.sentCopies()
				}
				return n
			}
			before := copies()
			for _, target := range route.targets {
				target.repeatRefusals()
			}
			for round := 0; copies() == before; round++ {
				if round == 10 {
					t.Fatal("no target sent a copy")
				}
				setRefusal(route, refusalHead(503, ownID, notRun, noBody))
				w.sendTo(w.node, "POST", route.path, "body", fmt.Sprintf("full-%d-%s", round, route.path), route.headers)
				setRefusal(route, "")
				time.Sleep(100 * time.Millisecond) // the targets' backoff ends
				for _, target := range route.targets {
					target.setAnswer(rawAnswer{bytes: "{none}"}, "")
				}
				id, headers := fmt.Sprintf("silent-%d-%s", round, route.path), maps.Clone(route.headers)
				if headers == nil {
					headers = map[string]string{}
				}
				headers["Deadline-Ms"] = fmt.Sprint(deadline.Milliseconds())
				began := time.Now()
				got := rawResult{id: id, response: w.sendTo(w.node, "POST", route.path, "body", id, headers)}
				took, runs := time.Since(began), totalRuns(route.targets, id)
				t.Logf("%d copies: answered %d (%v) after %v and %d runs", copies()-before, got.status, got.err, took.Round(time.Millisecond), runs)
				if took > waitTimeout || runs > 0 && (got.promised() || got.status == http.StatusOK) || runs > 1 && !route.repeatable {
					t.Errorf("answered %d (%v) after %v and %d runs", got.status, got.err, took, runs)
				}
			}
		})
	}
}
