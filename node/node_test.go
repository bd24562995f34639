package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"acaciakeel/fleet"
	"acaciakeel/internal/standin/runner"
)

// Guards against clients that set the system's own headers, such as another customer's name, a
// salt or a version, and against keys that reach a target.
func TestSystemHeadersOverrideClients(t *testing.T) {
	w := newEnv(t)
	header := promptHeaders()
	for _, name := range []string{"Tenant", "Cache-Salt", "Expect-Version", "Hold", "Kv-From", "Kv-Backup", "Pin-Ms"} {
		header[name] = "9"
	}
	a := w.send("POST", "/draft/x?q=1", "dump", header)
	if a.status != 200 || a.body != completeStream() {
		t.Fatalf("answered %d %q (%v)", a.status, a.body, a.err)
	}
	seen := w.executed(w.runners)[0]
	h := seen.Header
	if h.Get("Tenant") != "c1" || h.Get("Key") != "" || h.Get("Expect-Version") != "1" || h.Get("Hold")+h.Get("Kv-From")+h.Get("Kv-Backup")+h.Get("Pin-Ms") != "" {
		t.Errorf("the target got %v", h)
	}
	if h.Get("Cache-Salt") == "9" || h.Get("Cache-Salt") == "" {
		t.Errorf("the target got the salt %q", h.Get("Cache-Salt"))
	}
	if seen.URI != "/draft/x?q=1" || seen.Body != "dump" {
		t.Errorf("the target got %s with body %q", seen.URI, seen.Body)
	}
}

// Guards against lost, repeated or partial events when a runner stops in the middle of an
// event: a second run must continue after the last whole one.
func TestResumableStreamContinuesOnAnotherRunner(t *testing.T) {
	w := newEnv(t)
	for _, r := range w.runners {
		r.SetFault(runner.Broken)
	}
	a := w.send("POST", "/draft/x", "", promptHeaders())
	if a.err != nil || a.body != completeStream() {
		t.Errorf("got %q (%v)", a.body, a.err)
	}
	var after []string
	for _, s := range w.executed(w.runners) {
		after = append(after, s.Header.Get("Last-Event-Id"))
	}
	slices.Sort(after)
	if !slices.Equal(after, []string{"", "2"}) {
		t.Errorf("runs continued after %q, want one from the start and one after event 2", after)
	}
}

// Guards against anything but events in a stream that broke off and that no other runner can
// continue, and against a client taking it for complete.
func TestStartedStreamCarriesOnlyEvents(t *testing.T) {
	for _, fault := range []runner.Fault{runner.BrokenShed, runner.BrokenFailing} {
		t.Run(string(fault), func(t *testing.T) {
			w := newEnv(t)
			for _, r := range w.runners {
				r.SetFault(fault)
			}
			a := w.send("POST", "/draft/x", "", promptHeaders())
			if a.err == nil || !strings.HasPrefix(completeStream(), a.body) {
				t.Errorf("got %q (%v)", a.body, a.err)
			}
		})
	}
}

// Guards against a broken stream that may not be resumed but ends like a complete one, or is
// run a second time.
func TestNonResumableStreamBreaksOff(t *testing.T) {
	w := newEnv(t)
	for _, r := range w.runners {
		r.SetFault(runner.Broken)
	}
	a := w.send("POST", "/match/x", "", promptHeaders())
	if a.err == nil {
		t.Errorf("the broken stream ended like a complete one: %q", a.body)
	}
	if strings.Contains(a.body, "tor") {
		t.Errorf("half an event was passed on: %q", a.body)
	}
	if n := len(w.executed(w.runners)); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// Guards against a hold that is repeated after its answer was lost, which would sell the box
// twice, and against an answer that claims that nothing ran.
func TestHoldRunsOnceWhenItsAnswerIsLost(t *testing.T) {
	for _, fault := range []runner.Fault{runner.LoseAnswer, runner.Crossed, runner.Unsealed} {
		t.Run(string(fault), func(t *testing.T) {
			w := newEnv(t)
			for _, d := range w.plainTargets {
				d.SetFault(fault)
			}
			a := w.send("POST", "/hold/x", "box", nil)
			if a.status != http.StatusBadGateway {
				t.Errorf("answered %d, want 502, which leaves the outcome open", a.status)
			}
			if n := len(w.executed(w.plainTargets)); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
		})
	}
}

// Guards against lookups that fail with one target although another could answer them.
func TestLookupIsRepeated(t *testing.T) {
	for _, fault := range []runner.Fault{runner.LoseAnswer, runner.Crossed, runner.Unsealed, runner.Failing, runner.Mute} {
		t.Run(string(fault), func(t *testing.T) {
			w := newEnv(t)
			w.plainTargets[0].SetFault(fault)
			for i := range 4 {
				if a := w.send("GET", "/stock/x", "", nil); a.status != 200 {
					t.Errorf("lookup %d answered %d (%v)", i, a.status, a.err)
				}
			}
		})
	}
}

// Guards against a refusal without a Retry-After, or after a run, when every target refuses
// without running.
func TestRefusalReportsNotRun(t *testing.T) {
	w := newEnv(t)
	for _, d := range w.plainTargets {
		d.SetFault(runner.Shed)
	}
	a := w.send("POST", "/hold/x", "box", nil)
	if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
		t.Errorf("answered %d", a.status)
	}
	if a.header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	if n := len(w.executed(w.plainTargets)); n != 0 {
		t.Errorf("%d runs after a refusal", n)
	}
}

// Guards against an answer that claims that nothing ran when one target ran the lookup and
// lost its answer and the other refused, in either order.
func TestRefusalAfterARunDoesNotClaimNotRun(t *testing.T) {
	w := newEnv(t)
	w.plainTargets[0].SetFault(runner.LoseAnswer)
	w.plainTargets[1].SetFault(runner.Shed)
	for range 4 {
		ran := len(w.executed(w.plainTargets))
		a := w.send("GET", "/stock/x", "", nil)
		if len(w.executed(w.plainTargets)) > ran && a.status != http.StatusBadGateway {
			t.Errorf("answered %d after a run", a.status)
		}
	}
}

// Guards against requests that are served under a revoked key, and new keys that are not
// accepted.
func TestKeysAreAddedAndRevoked(t *testing.T) {
	w := newEnv(t)
	if a := w.send("GET", "/stock/x", "", map[string]string{"Key": "nobody's"}); a.status != http.StatusUnauthorized {
		t.Errorf("an unknown key was answered %d", a.status)
	}
	w.configure(otherKey, "key-3")
	w.until("the new key works", func() bool {
		return w.send("GET", "/stock/x", "", map[string]string{"Key": "key-3"}).status == 200
	})
	if a := w.send("GET", "/stock/x", "", nil); a.status != http.StatusUnauthorized {
		t.Errorf("the revoked key was answered %d", a.status)
	}
}

// Guards against keys revoked during an outage of the store: after the bound, requests with
// keys must be refused as not run, and the node report that it is not ready.
func TestKeysFailClosedWithoutTheStore(t *testing.T) {
	w := newEnv(t)
	w.kv.Listener.Close()
	w.kv.CloseClientConnections()
	w.until("the node reports that it is not ready", func() bool { return get(t, w.node.ReadyAddress()) == http.StatusServiceUnavailable })
	before := len(w.executed(w.plainTargets))
	a := w.send("GET", "/stock/x", "", nil)
	if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("answered %d, Retry-After %q", a.status, a.header.Get("Retry-After"))
	}
	if len(w.executed(w.plainTargets)) != before {
		t.Error("a request ran under a key that could not be confirmed")
	}
}

// Guards against state of a runner's previous start that is applied after a restart under the
// same id: load, cache, or the order count, by which its next order was refused for good.
func TestRunnerStartsAgainUnderItsID(t *testing.T) {
	w := newEnv(t)
	second := w.startNode("n1")
	w.store.Set("op/version/"+model, []byte(`{"model":"m","version":2}`))
	loaded := func(version int64) func() bool {
		return func() bool {
			return !slices.ContainsFunc(w.node.view.fleet.Targets("lm"), func(r fleet.Target) bool { return r.Weights[model] != version })
		}
	}
	w.until("both runners are known to have the new weights", loaded(2))
	for _, r := range w.runners {
		r.SetPace(100 * time.Millisecond)
	}
	streamed := make(chan response)
	go func() { streamed <- w.send("POST", "/draft/x", "", promptHeaders()) }()
	w.until("the stream has started", func() bool { return len(w.executed(w.runners)) > 0 })
	at := w.runners[0]
	if len(at.Seen()) == 0 {
		at = w.runners[1]
	}
	restarted := fleet.Instance{ID: at.ID, Born: at.Restart()}
	for _, n := range []*Node{w.node, second} {
		w.until("the node knows of the restart", func() bool { return n.view.fleet.IsCurrent(restarted) })
	}
	if a := <-streamed; a.err != nil || a.body != completeStream() {
		t.Errorf("the stream ended as %q (%v)", a.body, a.err)
	}
	for _, n := range []*Node{w.node, second} {
		if load := n.view.fleet.Occupancy(restarted); load.Inflight != 0 || load.PrefillTokens != 0 {
			t.Errorf("the restarted target has load %+v of its previous start", load)
		}
	}
	w.store.Set("op/version/"+model, []byte(`{"model":"m","version":3}`))
	w.until("both runners have the next weights", loaded(3))
	orders := at.Orders()
	if p := orders[len(orders)-1].Precondition; len(orders) != 2 || p == nil || *p != 0 {
		t.Errorf("%d orders, want 2, the last after the restart with precondition 0", len(orders))
	}
}

// Guards against a hold that is sent again, or reported as not run, after its target crashed
// with it and restarted at once.
func TestHoldSentBeforeRestartIsUnknown(t *testing.T) {
	w := newEnv(t)
	for _, d := range w.plainTargets {
		d.SetFault(runner.Mute)
	}
	answered := make(chan response)
	go func() { answered <- w.send("POST", "/hold/x", "box", nil) }()
	w.until("a target has the hold", func() bool { return len(w.executed(w.plainTargets)) == 1 })
	for _, d := range w.plainTargets {
		d.SetFault(runner.None)
		d.Restart()
		w.store.Set(d.Entry("ready").Key, d.Entry("ready").Value)
	}
	if a := <-answered; a.status != http.StatusBadGateway {
		t.Errorf("answered %d, want 502, which leaves the outcome open", a.status)
	}
	w.until("the restarted targets serve", func() bool { return w.send("GET", "/stock/x", "", nil).status == 200 })
	holds := 0
	for _, s := range w.executed(w.plainTargets) {
		if s.Method == "POST" {
			holds++
		}
	}
	if holds != 1 {
		t.Errorf("the hold ran %d times", holds)
	}
}

// Guards against runners that get a rollout's order twice, from two leaders or without a
// precondition, and against salts kept across versions.
func TestWeightsRollOut(t *testing.T) {
	w := newEnv(t)
	w.send("POST", "/draft/x", "", promptHeaders())
	w.startNode("n1")
	w.store.Set("op/version/"+model, []byte(`{"model":"m","version":2}`))
	w.until("both runners have the new weights", func() bool {
		return len(w.runners[0].Orders()) > 0 && len(w.runners[1].Orders()) > 0
	})
	w.until("requests run on them", func() bool {
		w.send("POST", "/draft/x", "", promptHeaders())
		return slices.ContainsFunc(w.executed(w.runners), func(s runner.Seen) bool { return s.Header.Get("Expect-Version") == "2" })
	})
	leaders, salts := map[string]bool{}, map[string]bool{}
	for _, r := range w.runners {
		if n := len(r.Orders()); n != 1 {
			t.Errorf("%s got %d orders, want 1", r.ID, n)
		}
		for _, o := range r.Orders() {
			leaders[fmt.Sprint(o.Holder, o.Fence)] = true
			if o.Precondition == nil || o.Mode != "block" {
				t.Errorf("order %+v has no precondition or truncates runs", o)
			}
		}
	}
	for _, s := range w.executed(w.runners) {
		salts[s.Header.Get("Expect-Version")+s.Header.Get("Cache-Salt")] = true
	}
	if len(leaders) != 1 || len(salts) != 2 {
		t.Errorf("leaders %v, versions with salts %v, want one and two", leaders, salts)
	}
}

// Guards against streams cut by a planned stop, a node that still reports ready, and requests
// refused during the notice.
func TestPlannedStopFinishesStreams(t *testing.T) {
	w := newEnv(t)
	for _, r := range w.runners {
		r.SetPace(150 * time.Millisecond)
	}
	done := make(chan response)
	go func() { done <- w.sendTo(w.node, "POST", "/draft/x", "", "stream", promptHeaders()) }()
	w.until("the stream runs", func() bool { return len(w.executed(w.runners)) > 0 })
	stopped := make(chan struct{})
	go func() { w.node.Stop(); close(stopped) }()
	w.until("the node reports that it is not ready", func() bool { return get(t, w.node.ReadyAddress()) == http.StatusServiceUnavailable })
	if a := w.send("GET", "/stock/x", "", nil); a.status != 200 {
		t.Errorf("answered %d (%v) while stopping", a.status, a.err)
	}
	if a := <-done; a.err != nil || a.body != completeStream() {
		t.Errorf("the stream was cut: %q (%v)", a.body, a.err)
	}
	<-stopped
	if conn, err := net.Dial("tcp", w.node.FrontAddress()); err == nil {
		conn.Close()
		t.Error("the listener is still open")
	}
}

// Guards against a stop that closes a kept connection after it has read a whole request from
// it: an idle one must end with a plain EOF.
func TestStopClosesIdleConnectionsCleanly(t *testing.T) {
	w := newEnv(t)
	conn, err := net.Dial("tcp", w.node.FrontAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	ask := func(id string) (*http.Response, error) {
		_, err := fmt.Fprintf(conn, "GET /stock/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nKey: %s\r\n\r\n", id, goodKey)
		if err != nil {
			return nil, err
		}
		return http.ReadResponse(in, nil)
	}
	if resp, err := ask("before"); err != nil || resp.StatusCode != 200 {
		t.Fatalf("answered %v (%v)", resp, err)
	} else if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	w.node.Stop()
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ended with %v, want EOF", err)
	}
}

// Guards against new requests to a target that is draining or whose entry is gone.
func TestDrainingTargetGetsNoNewRequests(t *testing.T) {
	w := newEnv(t)
	w.store.Set(w.plainTargets[0].Entry("draining").Key, w.plainTargets[0].Entry("draining").Value)
	w.until("only the other one is used", func() bool {
		before := len(w.plainTargets[0].Seen())
		for range 4 {
			w.send("GET", "/stock/x", "", nil)
		}
		return len(w.plainTargets[0].Seen()) == before
	})
}

// Guards against invalid requests that reach a target or get an answer other than a final 4xx.
func TestBadInput(t *testing.T) {
	w := newEnv(t)
	for _, test := range []struct {
		name   string
		path   string
		body   string
		header map[string]string
		want   int
	}{
		{"no route", "/nowhere/", "", nil, 404},
		{"deadline is no number", "/hold/x", "", map[string]string{"Deadline-Ms": "soon"}, 400},
		{"prefix without tokens", "/draft/x", "", map[string]string{"Model": model, "Prefix-Hash": "aa"}, 400},
		{"token count without a comma", "/draft/x", "", map[string]string{"Model": model, "Token-Count": "7"}, 400},
		{"body over the limit", "/hold/x", strings.Repeat("x", 1001), nil, 413},
		{"header over the limit", "/hold/x", "", map[string]string{"X": strings.Repeat("x", 9000)}, 431},
	} {
		t.Run(test.name, func(t *testing.T) {
			if a := w.send("POST", test.path, test.body, test.header); a.status != test.want {
				t.Errorf("answered %d %s, want %d", a.status, a.body, test.want)
			}
		})
	}
	if n := len(w.executed(append(w.runners, w.plainTargets...))); n != 0 {
		t.Errorf("%d runs", n)
	}
}
