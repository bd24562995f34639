package node

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"acaciakeel/ctl"
	"acaciakeel/fleet"
	"acaciakeel/internal/standin/runner"
	"acaciakeel/platform"
	"acaciakeel/poison"
	"acaciakeel/store"
	"acaciakeel/verdicts"
)

// crashTrigger is the body that crashes a runner crashDelay after the run began; the runner is
// then down for crashDowntime. maxCrashes is how many runners one such request may crash: up
// to the third it may be chance.
const (
	crashTrigger  = "divide by this"
	crashDelay    = 0
	crashDowntime = 300 * time.Millisecond
	maxCrashes    = 3
)

// newCrashEnv returns an environment with more runners, all of which crash on the trigger.
func newCrashEnv(t *testing.T, runners int) *testEnv {
	t.Helper()
	log, lines := logtest.NewNullLogger()
	w := newEnvWith(t, log)
	t.Cleanup(func() { logCrashes(t, lines.AllEntries()) })
	for i := len(w.runners); i < runners; i++ {
		r := runner.Start(fmt.Sprintf("r%d", i), "lm", map[string]int64{model: 1})
		w.runners = append(w.runners, r)
		w.store.Set(r.Entry("ready").Key, r.Entry("ready").Value)
		t.Cleanup(r.Close)
	}
	for _, r := range w.runners {
		r.CrashOn(crashTrigger, crashDelay, crashDowntime)
		r.SetPace(5 * time.Millisecond)
	}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go runner.KeepListed(w.runners, func(e store.Entry) { w.store.Set(e.Key, e.Value) }, stop)
	w.until("all runners are known", func() bool { return len(w.node.view.fleet.Targets("lm")) == runners })
	return w
}

// logCrashes prints what the nodes logged of crashes if the test failed: which were seen, who
// reported them, and when.
func logCrashes(t *testing.T, lines []*logrus.Entry) {
	if !t.Failed() {
		return
	}
	for _, l := range lines {
		event, _ := l.Data["event"].(string)
		if strings.HasPrefix(event, "content_") || strings.HasPrefix(event, "target_") || event == "broke_off" || l.Data["kind"] != nil {
			t.Logf("%s %v %s", l.Time.Format("05.000"), l.Data, l.Message)
		}
	}
}

func (w *testEnv) crashes() int {
	n := 0
	for _, r := range w.runners {
		n += r.Crashes()
	}
	return n
}

// repeat sends the crashing request repeatedly, each time under another id and to the next of
// the nodes, and returns the last answer.
func (w *testEnv) repeat(path string, times int, nodes ...*Node) response {
	var last response
	for i := range times {
		last = w.sendTo(nodes[i%len(nodes)], "POST", path, crashTrigger, fmt.Sprintf("%s-%d", path, i), promptHeaders())
		if said := strings.Contains(last.body, "was not run"); said != strings.Contains(last.body, `"not_run"`) {
			w.t.Errorf("request %d got contradictory statements on whether it ran: %s", i, last.body)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// Guards against a request that crashes one runner after the other, nineteen in one case:
// crashes were counted by request id and process, but its client retries under new ids.
func TestCrashingRequestIsRefused(t *testing.T) {
	for _, path := range []string{"/match/deadly", "/draft/deadly"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			w := newCrashEnv(t, 6)
			nodes := []*Node{w.node, w.startNode("n1")}
			lastResponse := w.repeat(path, 12, nodes...)
			if n := w.crashes(); n > maxCrashes {
				t.Errorf("%d runners crashed under one request", n)
			}
			if lastResponse.status != http.StatusServiceUnavailable || lastResponse.header.Get("Retry-After") == "" || !strings.Contains(lastResponse.body, "not_run") {
				t.Errorf("the last answer is %d, Retry-After %q: %s", lastResponse.status, lastResponse.header.Get("Retry-After"), lastResponse.body)
			}
		})
	}
}

// Guards against other requests that are taken for the cause because they ran on the same
// runners as a crashing one: their retries must be served.
func TestOtherRequestsAreServedBesideACrashingOne(t *testing.T) {
	w := newCrashEnv(t, 6)
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			body := fmt.Sprintf("other %d", i)
			for round := range 12 {
				a := w.sendTo(w.node, "POST", "/match/other", body, fmt.Sprintf("other-%d-%d", i, round), promptHeaders())
				if a.status == http.StatusOK && a.err == nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
			t.Errorf("request %d was never served", i)
		})
	}
	w.repeat("/match/deadly", 6, w.node)
	wg.Wait()
}

// setFaults sets the faults of the store.
func (w *testEnv) setFaults(faults string) {
	w.t.Helper()
	resp, err := http.Post(w.kv.URL+"/faults", "application/json", strings.NewReader(faults))
	if err != nil {
		w.t.Fatal(err)
	}
	resp.Body.Close()
}

// refuses reports whether a node refuses the crashing request because of its content.
func (w *testEnv) refuses(n *Node) bool {
	lastID++
	a := w.sendTo(n, "POST", "/match/deadly", crashTrigger, fmt.Sprintf("id-%d", lastID), promptHeaders())
	return a.status == http.StatusServiceUnavailable && strings.Contains(a.body, "ends_targets")
}

// hasVerdict reports whether the store contains a verdict.
func (w *testEnv) hasVerdict() bool {
	listing, err := platform.NewStore(w.kv.URL).List(w.t.Context(), platform.VerdictPrefix)
	return err == nil && len(listing.Entries) > 0
}

// Guards against crashes that start again after all nodes were killed: a starting node must
// apply the verdicts in the store.
func TestNewNodeRefusesContentsWithStoredVerdict(t *testing.T) {
	w := newCrashEnv(t, 6)
	w.repeat("/match/deadly", 8, w.node)
	w.until("the verdict is in the store", w.hasVerdict)
	w.node.cancel()
	fresh := w.startNode("n1")
	before := w.crashes()
	if !w.refuses(fresh) || w.crashes() != before {
		t.Errorf("a node that has just started ran it: %d runners crashed, %d before its start", w.crashes(), before)
	}
}

// Guards against a crashing request that is not stopped during an outage of the store, and a
// verdict that is not stored afterwards.
func TestVerdictHoldsWithoutTheStore(t *testing.T) {
	w := newCrashEnv(t, 8)
	w.setFaults(`{"down":true}`)
	last := w.repeat("/match/deadly", 6, w.node)
	if n := w.crashes(); n > maxCrashes || last.status != http.StatusServiceUnavailable {
		t.Errorf("%d runners crashed, the last answer is %d", n, last.status)
	}
	w.setFaults(`{}`)
	w.until("the verdict is in the store", w.hasVerdict)
}

// Guards against a content that stays refused on some node after an operator has lifted its
// verdict.
func TestLiftedContentIsServed(t *testing.T) {
	w := newCrashEnv(t, 6)
	w.repeat("/match/deadly", 8, w.node)
	w.until("the verdict is in the store", w.hasVerdict)
	for _, r := range w.runners {
		r.CrashOn("", 0, 0)
	}
	if !w.refuses(w.node) {
		t.Error("it is served before the verdict is lifted")
	}
	var out bytes.Buffer
	content := poison.Content{Method: "POST", Host: "h.example", URI: "/match/deadly", Customer: "c1", Body: []byte(crashTrigger)}.Fingerprint()
	address := strings.TrimPrefix(w.kv.URL, "http://")
	for _, args := range [][]string{{"keelctl", "verdicts", "--store", address}, {"keelctl", "lift", "--store", address, content.String()}} {
		if err := ctl.Command(&out).Run(t.Context(), args); err != nil {
			t.Fatal(err)
		}
	}
	if text := out.String(); !strings.Contains(text, content.String()) || !strings.Contains(text, "refused for") || !strings.Contains(text, "lifted") {
		t.Errorf("keelctl says %q", text)
	}
	w.until("it is served", func() bool {
		a := w.send("POST", "/match/deadly", crashTrigger, promptHeaders())
		return a.status == http.StatusOK && a.body == completeStream()
	})
}

// Guards against a verdict that another writer wrote, or that can't be read, taking effect: it
// must be rejected and logged.
func TestInvalidVerdictIsRejected(t *testing.T) {
	w := newCrashEnv(t, 2)
	content := poison.Content{Method: "POST", Host: "h.example", URI: "/match/sound", Customer: "c1", Body: []byte("sound")}.Fingerprint()
	w.store.Set(platform.VerdictPrefix+content.String(), []byte(`{"until_unix_ms":99999999999999,"ended":[]}`))
	w.store.Set(platform.VerdictPrefix+"zz", []byte(`{}`))
	w.store.Set("keel/mark", []byte("seen"))
	w.until("both are left out", func() bool {
		w.node.view.rejected.mu.Lock()
		defer w.node.view.rejected.mu.Unlock()
		return len(w.node.view.rejected.loggedRevisions) >= 2
	})
	if a := w.send("POST", "/match/sound", "sound", promptHeaders()); a.status != http.StatusOK {
		t.Errorf("answered %d: %s", a.status, a.body)
	}
}

// Guards against crashes that are not counted because the whole machine goes silent: the only
// signs are the broken responses and the entry that is removed seconds later.
func TestSilentCrashCountsWhenEntryIsRemoved(t *testing.T) {
	w := newCrashEnv(t, 2)
	table := w.node.view.verdicts.Table
	c := poison.Case{Content: poison.Content{URI: "/silent"}.Fingerprint(), Service: "lm"}
	now := time.Now()
	for i := range poison.CrashThreshold {
		gone := fleet.Target{ID: fmt.Sprint("silent", i), Service: "lm", Address: "127.0.0.1:9", Weights: map[string]int64{model: 1}}
		planned := fleet.Target{ID: fmt.Sprint("leaving", i), Service: "lm", Address: "127.0.0.1:9", Draining: true}
		for _, r := range []fleet.Target{gone, planned} {
			w.node.view.fleet.Put(r)
			table.RecordBrokenResponse(c, r.Instance(), now, now)
			w.node.view.removeUnlisted(r.ID)
		}
		if ends := table.Evaluate(c.Content, time.Now()).Crashes; ends != i+1 {
			t.Errorf("%d crashes counted after %d silent and %d planned ends", ends, i+1, i+1)
		}
	}
}

// Guards against a node that gets no datagrams and runs a content that the others refuse: it
// must apply the verdict in the store before it sees a crash.
func TestIsolatedNodeAppliesStoredVerdict(t *testing.T) {
	w := newCrashEnv(t, 6)
	isolated := w.startNode("n1")
	w.store.Set(isolated.view.self, encodeMember("127.0.0.1:9", "z1", 0))
	w.store.Set(w.node.view.self, encodeMember("127.0.0.1:9", "z1", 0))
	unreachable := func(n *Node) bool {
		plan := n.view.plan()
		return len(plan.Peers) == 1 && plan.Peers[0].Address == "127.0.0.1:9"
	}
	w.until("neither node's datagrams arrive", func() bool { return unreachable(w.node) && unreachable(isolated) })
	w.repeat("/match/deadly", 8, w.node)
	content := poison.Content{Method: "POST", Host: "h.example", URI: "/match/deadly", Customer: "c1", Body: []byte(crashTrigger)}.Fingerprint()
	w.until("it knows the verdict", func() bool {
		return isolated.view.verdicts.Table.Evaluate(content, time.Now()).Status == poison.Refused
	})
	before := w.crashes()
	if !w.refuses(isolated) || w.crashes() != before {
		t.Errorf("it ran the request: %d runners crashed, %d before", w.crashes(), before)
	}
}

// Guards against a verdict that is lost with the store's data: nodes must keep refusing the
// content and write the verdict again.
func TestLostVerdictIsStoredAgain(t *testing.T) {
	w := newCrashEnv(t, 6)
	w.repeat("/match/deadly", 8, w.node)
	w.until("the verdict is in the store", w.hasVerdict)
	content := poison.Content{Method: "POST", Host: "h.example", URI: "/match/deadly", Customer: "c1", Body: []byte(crashTrigger)}.Fingerprint()
	w.store.Remove(verdicts.Key(content))
	if !w.refuses(w.node) {
		t.Error("the verdict ended with its entry in the store")
	}
	w.until("the verdict is in the store again", w.hasVerdict)
}

// Guards against a verdict that starting nodes never learn of because another writer's value
// replaced it in the store.
func TestReplacedVerdictIsStoredAgain(t *testing.T) {
	w := newCrashEnv(t, 6)
	w.repeat("/match/deadly", 8, w.node)
	w.until("the verdict is in the store", w.hasVerdict)
	content := poison.Content{Method: "POST", Host: "h.example", URI: "/match/deadly", Customer: "c1", Body: []byte(crashTrigger)}.Fingerprint()
	for _, value := range [][]byte{[]byte("somebody"), {}} {
		w.store.Set(verdicts.Key(content), value)
		w.until("the verdict is in the store again", func() bool {
			entry, err := w.node.store.Get(t.Context(), verdicts.Key(content))
			if err != nil {
				return false
			}
			_, err = verdicts.Decode(entry, time.Now())
			return err == nil
		})
	}
}

// Guards against a crash that is missed because another runner took over the address and
// answers 421: if a read of cache events reached it first, the runner passed for a silent one.
func TestOtherRunnerAtAddressCountsAsCrash(t *testing.T) {
	w := newCrashEnv(t, 2)
	table := w.node.view.verdicts.Table
	c := poison.Case{Content: poison.Content{URI: "/replaced"}.Fingerprint(), Service: "lm"}
	previous := runner.Start("gone", "lm", map[string]int64{model: 1})
	entry := previous.EntryAt("ready", w.runners[0].Address())
	previous.Close()
	gone := fleet.Instance{ID: "gone"}
	table.RecordBrokenResponse(c, gone, time.Now(), time.Now())
	w.store.Set(entry.Key, entry.Value)
	w.until("a request or read reaches the other runner", func() bool {
		lastID++
		header := promptHeaders()
		header["Prefix-Hash"] = fmt.Sprintf("a%d:400,b%d:300,c%d:200", lastID, lastID, lastID)
		w.send("POST", "/draft/x", "", header)
		return table.Evaluate(c.Content, time.Now()).Crashes == 1
	})
}
