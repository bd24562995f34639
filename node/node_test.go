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

// A client sends headers that are the system's own to set: another customer's
// name, a salt, an older version. The target must get the system's values, and
// never the key.
func TestOwnHeadersAreNotTheClients(t *testing.T) {
	w := newWorld(t)
	header := prompt()
	for _, name := range []string{"Tenant", "Cache-Salt", "Expect-Version", "Hold", "Kv-From", "Kv-Backup", "Pin-Ms"} {
		header[name] = "9"
	}
	a := w.send("POST", "/draft/x?q=1", "dump", header)
	if a.status != 200 || a.body != whole() {
		t.Fatalf("answered %d %q (%v)", a.status, a.body, a.err)
	}
	seen := w.ran(w.runners)[0]
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

// A runner stops in the middle of an event. The client must get each event once
// and whole, in order, from a second run that goes on after the last.
func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	w := newWorld(t)
	for _, r := range w.runners {
		r.SetFault(runner.Broken)
	}
	a := w.send("POST", "/draft/x", "", prompt())
	if a.err != nil || a.body != whole() {
		t.Errorf("got %q (%v)", a.body, a.err)
	}
	var after []string
	for _, s := range w.ran(w.runners) {
		after = append(after, s.Header.Get("Last-Event-Id"))
	}
	slices.Sort(after)
	if !slices.Equal(after, []string{"", "2"}) {
		t.Errorf("runs went on after %q, want one from the start and one after event 2", after)
	}
}

// A stream breaks off after it has begun, and no other runner can go on with it:
// all refuse, or answer with a failure of their own. Nothing but events may
// follow in the answer, and it must not look whole.
func TestBegunStreamEndsWithNothingElse(t *testing.T) {
	for _, fault := range []runner.Fault{runner.BrokenShed, runner.BrokenFailing} {
		t.Run(string(fault), func(t *testing.T) {
			w := newWorld(t)
			for _, r := range w.runners {
				r.SetFault(fault)
			}
			a := w.send("POST", "/draft/x", "", prompt())
			if a.err == nil || !strings.HasPrefix(whole(), a.body) {
				t.Errorf("got %q (%v)", a.body, a.err)
			}
		})
	}
}

// The same fault on a stream that may not be resumed: the client's answer must
// break off, so that it can't take it for whole, and nothing runs twice.
func TestOtherStreamBreaksOff(t *testing.T) {
	w := newWorld(t)
	for _, r := range w.runners {
		r.SetFault(runner.Broken)
	}
	a := w.send("POST", "/match/x", "", prompt())
	if a.err == nil {
		t.Errorf("the broken stream ended like a whole one: %q", a.body)
	}
	if strings.Contains(a.body, "tor") {
		t.Errorf("half an event was passed on: %q", a.body)
	}
	if n := len(w.ran(w.runners)); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// A hold runs and its answer is lost. Sent again it would sell the box twice;
// and the client must not be told that nothing ran.
func TestHoldRunsOnceWhenItsAnswerIsLost(t *testing.T) {
	for _, fault := range []runner.Fault{runner.LoseAnswer, runner.Crossed, runner.Unsealed} {
		t.Run(string(fault), func(t *testing.T) {
			w := newWorld(t)
			for _, d := range w.desks {
				d.SetFault(fault)
			}
			a := w.send("POST", "/hold/x", "box", nil)
			if a.status != http.StatusBadGateway {
				t.Errorf("answered %d, want 502, which promises nothing", a.status)
			}
			if n := len(w.ran(w.desks)); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
		})
	}
}

// A lookup may be repeated: the second target's answer makes the fault invisible.
func TestLookupIsRepeated(t *testing.T) {
	for _, fault := range []runner.Fault{runner.LoseAnswer, runner.Crossed, runner.Unsealed, runner.Failing, runner.Mute} {
		t.Run(string(fault), func(t *testing.T) {
			w := newWorld(t)
			w.desks[0].SetFault(fault)
			for i := range 4 {
				if a := w.send("GET", "/stock/x", "", nil); a.status != 200 {
					t.Errorf("lookup %d answered %d (%v)", i, a.status, a.err)
				}
			}
		})
	}
}

// Every target refuses unrun. The client must be told so, and when to come back.
func TestRefusalIsTrue(t *testing.T) {
	w := newWorld(t)
	for _, d := range w.desks {
		d.SetFault(runner.Shed)
	}
	a := w.send("POST", "/hold/x", "box", nil)
	if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
		t.Errorf("answered %d", a.status)
	}
	if a.header.Get("Retry-After") == "" {
		t.Error("not told when to come back")
	}
	if n := len(w.ran(w.desks)); n != 0 {
		t.Errorf("%d runs after a refusal", n)
	}
}

// One target runs a lookup and loses the answer, the other refuses unrun. The
// client must not be told that nothing ran, in whichever order they were asked.
func TestRefusalAfterARunIsNoPromise(t *testing.T) {
	w := newWorld(t)
	w.desks[0].SetFault(runner.LoseAnswer)
	w.desks[1].SetFault(runner.Shed)
	for range 4 {
		ran := len(w.ran(w.desks))
		a := w.send("GET", "/stock/x", "", nil)
		if len(w.ran(w.desks)) > ran && a.status != http.StatusBadGateway {
			t.Errorf("answered %d after a run", a.status)
		}
	}
}

// Keys are added and taken away; nothing may run under one that is gone.
func TestKeysComeAndGo(t *testing.T) {
	w := newWorld(t)
	if a := w.send("GET", "/stock/x", "", map[string]string{"Key": "nobody's"}); a.status != http.StatusUnauthorized {
		t.Errorf("an unknown key was answered %d", a.status)
	}
	w.configure(otherKey, "key-3")
	w.until("the new key works", func() bool {
		return w.send("GET", "/stock/x", "", map[string]string{"Key": "key-3"}).status == 200
	})
	if a := w.send("GET", "/stock/x", "", nil); a.status != http.StatusUnauthorized {
		t.Errorf("the key that was taken away was answered %d", a.status)
	}
}

// The store falls away. A key may be taken away meanwhile without any news of
// it, so after the bound keyed requests must be refused, as not run, and new
// connections sent elsewhere.
func TestKeysFailClosedWithoutTheStore(t *testing.T) {
	w := newWorld(t)
	w.kv.CloseClientConnections()
	w.kv.Listener.Close()
	w.until("the node says that it is not ready", func() bool { return get(t, w.node.ReadyAddress()) == http.StatusServiceUnavailable })
	before := len(w.ran(w.desks))
	a := w.send("GET", "/stock/x", "", nil)
	if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("answered %d, Retry-After %q", a.status, a.header.Get("Retry-After"))
	}
	if len(w.ran(w.desks)) != before {
		t.Error("a request ran under a key that could not be confirmed")
	}
}

// A runner dies behind a cut with a stream and the parts of its prompt, and
// starts again under its id; the list goes on telling of its former life. The
// stream goes on at the other runner, the entries hear of the new life from itself
// or from each other, believe nothing of the former one's cache and load, and its
// next order goes by the new count: by the old one it was refused for good.
func TestRunnerStartsAgainUnderItsID(t *testing.T) {
	w := newWorld(t)
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
	streamed := make(chan answer)
	go func() { streamed <- w.send("POST", "/draft/x", "", prompt()) }()
	w.until("the stream has begun", func() bool { return len(w.ran(w.runners)) > 0 })
	at := w.runners[0]
	if len(at.Seen()) == 0 {
		at = w.runners[1]
	}
	life := fleet.Instance{ID: at.ID, Born: at.Restart()}
	for _, n := range []*Node{w.node, second} {
		w.until("the entry knows of the new life", func() bool { return n.view.fleet.IsCurrent(life) })
	}
	if a := <-streamed; a.err != nil || a.body != whole() {
		t.Errorf("the stream ended as %q (%v)", a.body, a.err)
	}
	for _, n := range []*Node{w.node, second} {
		if load := n.view.fleet.Occupancy(life); load.Inflight != 0 || load.PrefillTokens != 0 {
			t.Errorf("the new life has load %+v of the former", load)
		}
	}
	w.store.Set("op/version/"+model, []byte(`{"model":"m","version":3}`))
	w.until("both runners have the next weights", loaded(3))
	orders := at.Orders()
	if p := orders[len(orders)-1].Precondition; len(orders) != 2 || p == nil || *p != 0 {
		t.Errorf("%d orders, want 2, the last to the new life on none before", len(orders))
	}
}

// A hold is sent to a target that dies with it and starts again at once. The new
// life knows nothing of it, takes no part in it and answers others; the client must
// not be told that nothing ran, nor may the hold be sent to the new life.
func TestHoldSentToAFormerLifeIsUnknown(t *testing.T) {
	w := newWorld(t)
	for _, d := range w.desks {
		d.SetFault(runner.Mute)
	}
	answered := make(chan answer)
	go func() { answered <- w.send("POST", "/hold/x", "box", nil) }()
	w.until("a target has the hold", func() bool { return len(w.ran(w.desks)) == 1 })
	for _, d := range w.desks {
		d.SetFault(runner.None)
		d.Restart()
		w.store.Set(d.Entry("ready").Key, d.Entry("ready").Value)
	}
	if a := <-answered; a.status != http.StatusBadGateway {
		t.Errorf("answered %d, want 502, which promises nothing", a.status)
	}
	w.until("the new lives serve", func() bool { return w.send("GET", "/stock/x", "", nil).status == 200 })
	holds := 0
	for _, s := range w.ran(w.desks) {
		if s.Method == "POST" {
			holds++
		}
	}
	if holds != 1 {
		t.Errorf("the hold ran %d times", holds)
	}
}

// New weights are named. One holder orders each runner once, on the condition
// that nothing else was ordered meanwhile, and requests then use other salts.
func TestWeightsRollOut(t *testing.T) {
	w := newWorld(t)
	w.send("POST", "/draft/x", "", prompt())
	w.startNode("n1")
	w.store.Set("op/version/"+model, []byte(`{"model":"m","version":2}`))
	w.until("both runners have the new weights", func() bool {
		return len(w.runners[0].Orders()) > 0 && len(w.runners[1].Orders()) > 0
	})
	w.until("requests run on them", func() bool {
		w.send("POST", "/draft/x", "", prompt())
		return slices.ContainsFunc(w.ran(w.runners), func(s runner.Seen) bool { return s.Header.Get("Expect-Version") == "2" })
	})
	holders, salts := map[string]bool{}, map[string]bool{}
	for _, r := range w.runners {
		if n := len(r.Orders()); n != 1 {
			t.Errorf("%s got %d orders, want 1", r.ID, n)
		}
		for _, o := range r.Orders() {
			holders[fmt.Sprint(o.Holder, o.Fence)] = true
			if o.Precondition == nil || o.Mode != "block" {
				t.Errorf("order %+v has no condition or cuts runs off", o)
			}
		}
	}
	for _, s := range w.ran(w.runners) {
		salts[s.Header.Get("Expect-Version")+s.Header.Get("Cache-Salt")] = true
	}
	if len(holders) != 1 || len(salts) != 2 {
		t.Errorf("holders %v, versions with salts %v, want one and two", holders, salts)
	}
}

// A node is stopped while it passes a stream on: the stream must end whole, the
// platform must hear at once that the node is not ready, and requests that
// still come are served.
func TestPlannedStopCutsNothing(t *testing.T) {
	w := newWorld(t)
	for _, r := range w.runners {
		r.SetPace(150 * time.Millisecond)
	}
	done := make(chan answer)
	go func() { done <- w.sendTo(w.node, "POST", "/draft/x", "", "stream", prompt()) }()
	w.until("the stream runs", func() bool { return len(w.ran(w.runners)) > 0 })
	stopped := make(chan struct{})
	go func() { w.node.Stop(); close(stopped) }()
	w.until("the node says that it is not ready", func() bool { return get(t, w.node.ReadyAddress()) == http.StatusServiceUnavailable })
	if a := w.send("GET", "/stock/x", "", nil); a.status != 200 {
		t.Errorf("answered %d (%v) while stopping", a.status, a.err)
	}
	if a := <-done; a.err != nil || a.body != whole() {
		t.Errorf("the stream was cut: %q (%v)", a.body, a.err)
	}
	<-stopped
	if conn, err := net.Dial("tcp", w.node.FrontAddress()); err == nil {
		conn.Close()
		t.Error("the door is still open")
	}
}

// A client keeps a connection open and sends its next request while the node
// stops. It must get an answer, or find the connection closed before it sent;
// never a closed connection after the whole request was read.
func TestStopEndsIdleConnectionsUnread(t *testing.T) {
	w := newWorld(t)
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
		t.Errorf("the idle connection ended with %v, want its plain end", err)
	}
}

// A target says that it leaves, or its entry vanishes: no new work goes there.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	w := newWorld(t)
	w.store.Set(w.desks[0].Entry("draining").Key, w.desks[0].Entry("draining").Value)
	w.until("only the other one is used", func() bool {
		before := len(w.desks[0].Seen())
		for range 4 {
			w.send("GET", "/stock/x", "", nil)
		}
		return len(w.desks[0].Seen()) == before
	})
}

// Bad input gets a clear final answer and reaches no target.
func TestBadInput(t *testing.T) {
	w := newWorld(t)
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
	if n := len(w.ran(append(w.runners, w.desks...))); n != 0 {
		t.Errorf("%d runs", n)
	}
}
