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

// deadlyWord is what ends a runner that runs a request with it for deadlyAfter, and
// deadlyDown how long that is gone. endsMost is how many such a request may end: before
// the third it may have been chance.
const (
	deadlyWord  = "divide by this"
	deadlyAfter = 0
	deadlyDown  = 300 * time.Millisecond
	endsMost    = 3
)

// newDeadlyWorld returns a world with more runners, all of which end on the word.
func newDeadlyWorld(t *testing.T, runners int) *world {
	t.Helper()
	log, lines := logtest.NewNullLogger()
	w := newWorldWith(t, log)
	t.Cleanup(func() { tellEnds(t, lines.AllEntries()) })
	for i := len(w.runners); i < runners; i++ {
		r := runner.Start(fmt.Sprintf("r%d", i), "lm", map[string]int64{model: 1})
		w.runners = append(w.runners, r)
		w.store.Set(r.Entry("ready").Key, r.Entry("ready").Value)
		t.Cleanup(r.Close)
	}
	for _, r := range w.runners {
		r.EndOn(deadlyWord, deadlyAfter, deadlyDown)
		r.SetPace(5 * time.Millisecond)
	}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go runner.KeepListed(w.runners, func(e store.Entry) { w.store.Set(e.Key, e.Value) }, stop)
	w.until("all runners are known", func() bool { return len(w.node.view.fleet.Targets("lm")) == runners })
	return w
}

// tellEnds prints what the nodes logged of ends, where a test failed: which was seen,
// by whom it was told, and when.
func tellEnds(t *testing.T, lines []*logrus.Entry) {
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

func (w *world) crashes() int {
	n := 0
	for _, r := range w.runners {
		n += r.Crashes()
	}
	return n
}

// repeat sends the request that ends runners again and again, each time under another
// id and at the next of the nodes, and returns the last answer.
func (w *world) repeat(path string, times int, nodes ...*Node) answer {
	var last answer
	for i := range times {
		last = w.sendTo(nodes[i%len(nodes)], "POST", path, deadlyWord, fmt.Sprintf("%s-%d", path, i), prompt())
		if said := strings.Contains(last.body, "was not run"); said != strings.Contains(last.body, `"not_run"`) {
			w.t.Errorf("request %d is told whether it ran in two ways: %s", i, last.body)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// Users saw nineteen runners end one after the other, and with each the requests of
// others: one request ended whoever ran it, its client sent it again under another id,
// and the entry began to count anew. Cause: what bounded sends counted them by id and by
// process, while the harm comes with the content; of twelve ends that the logs of a day
// showed, all had the same content and eleven were the first send of their id. It has to
// end three at most, whatever the id and the entry; then it is refused, with the truth
// that this one was not run and when to come back.
func TestRequestThatEndsRunnersIsStopped(t *testing.T) {
	for _, path := range []string{"/match/deadly", "/draft/deadly"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			w := newDeadlyWorld(t, 6)
			nodes := []*Node{w.node, w.startNode("n1")}
			last := w.repeat(path, 12, nodes...)
			if n := w.crashes(); n > endsMost {
				t.Errorf("%d runners ended under one request", n)
			}
			if last.status != http.StatusServiceUnavailable || last.header.Get("Retry-After") == "" || !strings.Contains(last.body, "not_run") {
				t.Errorf("the last answer is %d, Retry-After %q: %s", last.status, last.header.Get("Retry-After"), last.body)
			}
		})
	}
}

// A request that ends runners comes while others are served. Those that were on the same
// runners are repeated by their clients and must be served then: to be there when a
// runner ended is no proof against them.
func TestOthersAreServedBesideOneThatEndsRunners(t *testing.T) {
	w := newDeadlyWorld(t, 6)
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			body := fmt.Sprintf("other %d", i)
			for round := range 12 {
				a := w.sendTo(w.node, "POST", "/match/other", body, fmt.Sprintf("other-%d-%d", i, round), prompt())
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

// setFaults sets what goes wrong with the store.
func (w *world) setFaults(faults string) {
	w.t.Helper()
	resp, err := http.Post(w.kv.URL+"/faults", "application/json", strings.NewReader(faults))
	if err != nil {
		w.t.Fatal(err)
	}
	resp.Body.Close()
}

// refuses reports whether a node answers the request that ends runners with the refusal
// of its content.
func (w *world) refuses(n *Node) bool {
	ids++
	a := w.sendTo(n, "POST", "/match/deadly", deadlyWord, fmt.Sprintf("id-%d", ids), prompt())
	return a.status == http.StatusServiceUnavailable && strings.Contains(a.body, "ends_targets")
}

// kept reports whether the store has a verdict.
func (w *world) kept() bool {
	listing, err := platform.NewStore(w.kv.URL).List(w.t.Context(), platform.VerdictPrefix)
	return err == nil && len(listing.Entries) > 0
}

// All entries are killed together after a request ended three runners. Those that start
// know nothing but what the store has; without it the same request would end three more.
func TestEntriesThatStartRefuseWhatTheStoreHas(t *testing.T) {
	w := newDeadlyWorld(t, 6)
	w.repeat("/match/deadly", 8, w.node)
	w.until("the verdict is in the store", w.kept)
	w.node.cancel()
	fresh := w.startNode("n1")
	before := w.crashes()
	if !w.refuses(fresh) || w.crashes() != before {
		t.Errorf("an entry that has just started ran it: %d runners ended, %d before its start", w.crashes(), before)
	}
}

// The store is away while a request ends its runners, and the entries tell each other
// nothing. Each stops it by itself; once the store is back, it has the verdict.
func TestVerdictHoldsWithoutTheStore(t *testing.T) {
	w := newDeadlyWorld(t, 8)
	w.setFaults(`{"down":true}`)
	last := w.repeat("/match/deadly", 6, w.node)
	if n := w.crashes(); n > endsMost || last.status != http.StatusServiceUnavailable {
		t.Errorf("%d runners ended, the last answer is %d", n, last.status)
	}
	w.setFaults(`{}`)
	w.until("the verdict is in the store", w.kept)
}

// An operator finds that a content was refused which is sound by now, and lifts the
// verdict. All entries serve it again.
func TestLiftedContentIsServed(t *testing.T) {
	w := newDeadlyWorld(t, 6)
	w.repeat("/match/deadly", 8, w.node)
	w.until("the verdict is in the store", w.kept)
	for _, r := range w.runners {
		r.EndOn("", 0, 0)
	}
	if !w.refuses(w.node) {
		t.Error("it is served before anybody lifts it")
	}
	var out bytes.Buffer
	content := poison.Content{Method: "POST", Host: "h.example", URI: "/match/deadly", Customer: "c1", Body: []byte(deadlyWord)}.Fingerprint()
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
		a := w.send("POST", "/match/deadly", deadlyWord, prompt())
		return a.status == http.StatusOK && a.body == whole()
	})
}

// A verdict that another writer wrote, or that can't be read, refuses nothing and is
// left out with a word in the log.
func TestForeignVerdictRefusesNothing(t *testing.T) {
	w := newDeadlyWorld(t, 2)
	content := poison.Content{Method: "POST", Host: "h.example", URI: "/match/sound", Customer: "c1", Body: []byte("sound")}.Fingerprint()
	w.store.Set(platform.VerdictPrefix+content.String(), []byte(`{"until_unix_ms":99999999999999,"ended":[]}`))
	w.store.Set(platform.VerdictPrefix+"zz", []byte(`{}`))
	w.store.Set("keel/mark", []byte("seen"))
	w.until("both are left out", func() bool {
		w.node.view.skipped.mu.Lock()
		defer w.node.view.skipped.mu.Unlock()
		return len(w.node.view.skipped.loggedRevisions) >= 2
	})
	if a := w.send("POST", "/match/sound", "sound", prompt()); a.status != http.StatusOK {
		t.Errorf("answered %d: %s", a.status, a.body)
	}
}

// A request brings whole machines down: connections go silent, nothing refuses one, and
// the list loses the runner seconds later. That is all there is to see, and it counts.
func TestSilentEndsCountOnceTheListLosesThem(t *testing.T) {
	w := newDeadlyWorld(t, 2)
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
			t.Errorf("%d ends count after %d silent and %d planned ones", ends, i+1, i+1)
		}
	}
}

// An entry hears nothing of the others, but reaches the store and the runners. What the
// others saw reaches it by the store, before it has seen anything itself.
func TestEntryThatHearsNobodyLearnsFromTheStore(t *testing.T) {
	w := newDeadlyWorld(t, 6)
	deaf := w.startNode("n1")
	w.store.Set(deaf.view.self, encodeMember("127.0.0.1:9", "z1"))
	w.store.Set(w.node.view.self, encodeMember("127.0.0.1:9", "z1"))
	nowhere := func(n *Node) bool {
		plan := n.view.plan()
		return len(plan.Peers) == 1 && plan.Peers[0].Address == "127.0.0.1:9"
	}
	w.until("each sends its words nowhere", func() bool { return nowhere(w.node) && nowhere(deaf) })
	w.repeat("/match/deadly", 8, w.node)
	content := poison.Content{Method: "POST", Host: "h.example", URI: "/match/deadly", Customer: "c1", Body: []byte(deadlyWord)}.Fingerprint()
	w.until("it knows the verdict", func() bool {
		return deaf.view.verdicts.Table.Evaluate(content, time.Now()).Status == poison.Refused
	})
	before := w.crashes()
	if !w.refuses(deaf) || w.crashes() != before {
		t.Errorf("it ran the request: %d runners ended, %d before", w.crashes(), before)
	}
}

// The store loses the verdict. Entries that run go on refusing and write it anew, so that
// those which start know of it.
func TestLostVerdictIsBackInTheStore(t *testing.T) {
	w := newDeadlyWorld(t, 6)
	w.repeat("/match/deadly", 8, w.node)
	w.until("the verdict is in the store", w.kept)
	content := poison.Content{Method: "POST", Host: "h.example", URI: "/match/deadly", Customer: "c1", Body: []byte(deadlyWord)}.Fingerprint()
	w.store.Remove(verdicts.Key(content))
	if !w.refuses(w.node) {
		t.Error("the loss lifts the verdict")
	}
	w.until("the verdict is in the store again", w.kept)
}

// A runner ends under a request and another one is at its address at once, so that no
// connection is refused. The next that goes there, a request or a reading of its cache
// events, is told so (421), and that is a sign of the end as good as any. Where the reading
// came first, the runner passed for one that is silent, and no request went there again.
func TestAnotherRunnerAtTheAddressIsASignOfTheEnd(t *testing.T) {
	w := newDeadlyWorld(t, 2)
	table := w.node.view.verdicts.Table
	c := poison.Case{Content: poison.Content{URI: "/replaced"}.Fingerprint(), Service: "lm"}
	former := runner.Start("gone", "lm", map[string]int64{model: 1})
	entry := former.EntryAt("ready", w.runners[0].Address())
	former.Close()
	gone := fleet.Instance{ID: "gone"}
	table.RecordBrokenResponse(c, gone, time.Now(), time.Now())
	w.store.Set(entry.Key, entry.Value)
	w.until("somebody meets the other runner", func() bool {
		ids++
		header := prompt()
		header["Prefix-Hash"] = fmt.Sprintf("a%d:400,b%d:300,c%d:200", ids, ids, ids)
		w.send("POST", "/draft/x", "", header)
		return table.Evaluate(c.Content, time.Now()).Crashes == 1
	})
}
