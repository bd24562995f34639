package node

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"acaciakeel/fleet"
	"acaciakeel/store"
)

// refusalCopies are refusals of which a target sends a copy ahead of the answer, once the request is
// under way again on the connection that carried the refusal.
func refusalCopies() map[string]string {
	return map[string]string{
		"503":                  refusalHead(503, ownID, notRun, noBody),
		"503 with Retry-After": refusalHead(503, ownID, notRun, "Retry-After: 0.05", noBody),
		"429":                  refusalHead(429, ownID, notRun, noBody),
		"421":                  refusalHead(421, ownID, noBody),
		"400":                  refusalHead(400, ownID, notRun, noBody),
	}
}

// sendAgain sends a request under one ID until a target has got it after its refusal.
func sendAgain(w *testEnv, route rawRoute, id string) response {
	w.t.Helper()
	var got response
	w.until("a target gets the request again", func() bool {
		got = w.sendTo(w.node, "POST", route.path, "body", id, route.headers)
		return totalRuns(route.targets, id) > 0
	})
	return got
}

// checkAgain checks the answer to a request that its targets have refused before.
func checkAgain(t *testing.T, route rawRoute, id string, got response) {
	t.Helper()
	runs := totalRuns(route.targets, id)
	if !route.repeatable && runs > 1 {
		t.Errorf("%s: ran %d times", route.path, runs)
	}
	if got.status != http.StatusOK || got.body != route.body(id) {
		t.Errorf("%s: answered %d %q (%v) after %d runs", route.path, got.status, got.body, got.err, runs)
	}
}

// Guards against the copy of a refusal that counts as the refusal of a later send of its request: a
// client sends its ID again, and the connection is that of the refusal.
func TestCopyOfRefusalIsNotBelieved(t *testing.T) {
	for name, refusal := range refusalCopies() {
		t.Run(name, func(t *testing.T) {
			w, routes := newRawEnv(t)
			for _, route := range routes {
				for _, target := range route.targets {
					target.refuseFirst(refusal)
				}
				for i := range 4 {
					id := fmt.Sprintf("again-%d-%s", i, route.path)
					checkAgain(t, route, id, sendAgain(w, route, id))
				}
			}
		})
	}
}

// Guards against the copy of a refusal that counts as that of the next send, if the list has two
// targets with one address: the first send names the one that has ended there, the second the other.
func TestCopyOfMisdirectionIsNotBelieved(t *testing.T) {
	w, routes := newRawEnv(t)
	for _, route := range routes {
		if route.repeatable {
			continue
		}
		target, other := route.targets[0], route.targets[1]
		target.misdirect()
		other.refuseFirst(refusalHead(503, ownID, notRun, noBody))
		for round := 0; target.sentAgain() == 0; round++ {
			if round == 20 {
				t.Fatalf("%s: no request was sent to both targets", route.path)
			}
			former := formerEntry(target, fmt.Sprintf("former-%d%s", round, strings.ReplaceAll(route.path, "/", "-")))
			w.store.Set(former.Key, former.Value)
			w.until("the node knows the former target", func() bool {
				return slices.ContainsFunc(w.node.view.fleet.Targets(target.calls.Service), func(known fleet.Target) bool { return "servers/"+known.ID == former.Key })
			})
			id := fmt.Sprintf("id-%d-%s", round, route.path)
			// Each prompt is new, so that no target is preferred for what it has cached.
			headers := maps.Clone(route.headers)
			if headers != nil {
				headers["Prefix-Hash"] = fmt.Sprintf("a%d:400,b%d:300,c%d:200", round, round, round)
			}
			got := rawResult{id: id, response: w.sendTo(w.node, "POST", route.path, "body", id, headers)}
			if got.runs = totalRuns(route.targets, id); got.runs > 1 || got.runs > 0 && got.promised() {
				t.Errorf("%s: ran %d times, answered %d %q (%v)", route.path, got.runs, got.status, got.body, got.err)
			}
		}
	}
}

// Guards against a target's surplus refusal that costs another request its answer, which follows on the
// same connection, and the target its health.
func TestCopyOfRefusalCostsNoOtherRequest(t *testing.T) {
	for name, refusal := range refusalCopies() {
		t.Run(name, func(t *testing.T) {
			w, routes := newRawEnv(t)
			for _, route := range routes {
				for _, target := range route.targets {
					target.repeatRefusals()
				}
				for i := range 4 {
					id := fmt.Sprintf("full-%d-%s", i, route.path)
					setRefusal(route, refusal)
					w.sendTo(w.node, "POST", route.path, "body", id, route.headers)
					setRefusal(route, "")
					id, got := sendUntilRun(w, route, fmt.Sprintf("next-%d", i))
					checkAgain(t, route, id, got)
				}
			}
		})
	}
}

func setRefusal(route rawRoute, refusal string) {
	for _, target := range route.targets {
		target.refuseFirst(refusal)
	}
}

// sendUntilRun sends requests with new IDs until one of them has run.
func sendUntilRun(w *testEnv, route rawRoute, prefix string) (id string, got response) {
	w.t.Helper()
	sent := 0
	w.until("a request runs", func() bool {
		id = fmt.Sprintf("%s-%d-%s", prefix, sent, route.path)
		sent++
		got = w.sendTo(w.node, "POST", route.path, "body", id, route.headers)
		return totalRuns(route.targets, id) > 0
	})
	return id, got
}

// formerEntry is the list entry of a target that has ended, at the address of the one that runs there.
func formerEntry(target *rawTarget, id string) store.Entry {
	entry := target.calls.EntryAt("ready", target.listener.Addr().String())
	entry.Key = "servers/" + id
	return entry
}
