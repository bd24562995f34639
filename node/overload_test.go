package node

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"acaciakeel/door"
	"acaciakeel/internal/standin/client"
	"acaciakeel/policy"
)

// Guards against requests that an overloaded entry reads, or that run there and once more where
// their clients go after their connection was closed unread.
func TestRefusedConnectionIsServedElsewhere(t *testing.T) {
	w := newEnv(t)
	other := w.startPeer("n1")
	var overloaded atomic.Bool
	var refused atomic.Int64
	w.node.servers.front.RefuseNew(overloaded.Load, func() { refused.Add(1) })
	overloaded.Store(true)
	// Without idle connections each attempt opens one.
	http.DefaultClient.CloseIdleConnections()
	for i, path := range []string{"/hold/x", "/stock/x", "/draft/x", "/match/x"} {
		r := streamRequest("", i)
		r.Path = path
		if path == "/hold/x" || path == "/stock/x" {
			r.Prompt = nil
		}
		served := false
		for attempt, n := range []*Node{w.node, other} {
			r.ID = "try-" + path + string(rune('a'+attempt))
			if a := w.exchange(n, r); a.err == nil && a.status == http.StatusOK {
				served = true
				if n == w.node {
					t.Errorf("%s was read by the overloaded node", path)
				}
			}
			http.DefaultClient.CloseIdleConnections()
		}
		if !served {
			t.Errorf("%s was not served", path)
		}
	}
	if runs := len(w.executed(w.plainTargets)) + len(w.executed(w.runners)); runs != 4 || refused.Load() < 4 {
		t.Errorf("%d runs, %d connections refused, want 4 and at least as many", runs, refused.Load())
	}
	overloaded.Store(false)
	if a := w.exchange(w.node, client.Request{Method: http.MethodPost, Host: "h.example", Path: "/hold/x", ID: "after", Key: goodKey, Deadline: streamRequest("", 0).Deadline}); a.status != http.StatusOK {
		t.Errorf("after the overload: %d (%v)", a.status, a.err)
	}
}

// Guards against an overloaded entry that reads new connections though another one may take them, or
// closes them though it knows no other one, unless the refusal is switched off.
func TestOverloadedEntryRefusesOnlyBesideAnother(t *testing.T) {
	w := newEnv(t)
	for _, test := range []struct {
		peer, disabled, refuses bool
	}{
		{false, false, false},
		{true, false, true},
		{true, true, false},
	} {
		if test.peer && len(w.node.view.plan().Peers) == 0 {
			w.startPeer("n1")
		}
		front, err := door.Start("127.0.0.1:0", &http.Server{Handler: http.NotFoundHandler()}, door.Telemetry{Log: w.log})
		if err != nil {
			t.Fatal(err)
		}
		defer front.Close()
		n := &Node{log: w.log, registry: prometheus.NewRegistry(), view: w.node.view}
		n.options.Disabled = policy.Disabled{policy.ConnectionRefusal: test.disabled}
		n.servers.front = front
		n.refuseWhileOverloaded()
		for range 100 {
			n.lateness.Record(door.Wait{Late: time.Second})
		}
		http.DefaultClient.CloseIdleConnections()
		resp, err := http.Get("http://" + front.Address())
		if err == nil {
			resp.Body.Close()
		}
		if (err != nil) != test.refuses {
			t.Errorf("%+v: got error %v", test, err)
		}
	}
}
