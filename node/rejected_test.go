package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/internal/standin/runner"
	"acaciakeel/platform"
)

// logBuffer collects a node's log.
type logBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(line)
}

// rejectionCount returns how often the log reports that a key was rejected for a reason.
func (l *logBuffer) rejectionCount(key, reason string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	said := regexp.MustCompile(fmt.Sprintf(`event=entry_left_out key=%s reason=%s revision=\d+`, regexp.QuoteMeta(key), reason))
	return len(said.FindAll(l.out.Bytes(), -1))
}

func (l *logBuffer) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Contains(l.out.Bytes(), []byte(text))
}

// newLoggedEnv returns an environment whose node's log is collected.
func newLoggedEnv(t *testing.T) (*testEnv, *logBuffer) {
	t.Helper()
	out := &logBuffer{}
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableTimestamp: true})
	return newEnvWith(t, log), out
}

// targetEntry returns a plain target's entry with one field changed; nil removes the field.
func targetEntry(r *runner.Runner, field string, with any) []byte {
	entry := map[string]any{"service": r.Service, "address": r.Address(), "zone": "z1", "slots": 8, "state": "ready"}
	if with == nil {
		delete(entry, field)
	} else if field != "" {
		entry[field] = with
	}
	value, _ := json.Marshal(entry)
	return value
}

// checkServes checks that lookups are answered.
func (w *testEnv) checkServes(during string) {
	w.t.Helper()
	for range 4 {
		if a := w.send("GET", "/stock/x", "", nil); a.status != 200 {
			w.t.Errorf("a lookup was answered %d (%v) beside %s", a.status, a.err, during)
		}
	}
}

// usable reports whether requests may be sent to a listed target.
func (w *testEnv) usable(id string) bool {
	return w.node.view.fleet.Available(fleet.Instance{ID: id})
}

// rejectedMetric returns the metric of entries rejected for a reason.
func (w *testEnv) rejectedMetric(reason string) string {
	w.t.Helper()
	resp, err := http.Get("http://" + w.node.servers.metrics.Address() + "/metrics")
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	found := regexp.MustCompile(`keel_node_entries_left_out_total\{reason="` + reason + `"\} (\d+)`).FindSubmatch(data)
	if found == nil {
		return ""
	}
	return string(found[1])
}

// Guards against requests to targets whose entries other writers wrote wrongly: without a
// state or an address they counted as ready, and every second lookup failed.
func TestInvalidEntriesAreRejected(t *testing.T) {
	w, log := newLoggedEnv(t)
	unlisted := runner.Start("ghost", "desk", nil)
	t.Cleanup(unlisted.Close)
	for _, f := range []struct {
		reason, key string
		value       []byte
	}{
		{"unreadable", "servers/f1", []byte("\x00\xff{")},
		{"unreadable", "servers/f2", nil},
		{"missing_field", "servers/f3", targetEntry(unlisted, "state", nil)},
		{"missing_field", "servers/f4", targetEntry(unlisted, "address", nil)},
		{"wrong_type", "servers/f5", targetEntry(unlisted, "slots", "many")},
		{"bad_value", "servers/f6", targetEntry(unlisted, "address", "nowhere")},
		{"unknown_state", "servers/f7", targetEntry(unlisted, "state", "resting")},
		{"unknown_service", "servers/f8", targetEntry(unlisted, "service", "somebody's")},
		{"bad_key", "servers/", targetEntry(unlisted, "", "")},
		{"bad_key", "servers/a/b", targetEntry(unlisted, "", "")},
		{"bad_key", "keel/members/one", []byte("127.0.0.1:9")},
		{"bad_value", "keel/members/n9/5f1c0c9e-6f0e-4f0e-9d7c-0b9d1c1f0a11", []byte("a machine")},
		{"missing_field", "op/config", []byte(`{"version":99}`)},
		{"wrong_type", "op/version/" + model, []byte(`{"model":"m","version":"two"}`)},
	} {
		w.store.Set(f.key, f.value)
		w.until(f.key+" is left out", func() bool { return log.rejectionCount(f.key, f.reason) == 1 })
		w.checkServes(f.key)
		if id, ok := strings.CutPrefix(f.key, "servers/"); ok && w.usable(id) {
			t.Errorf("%s is used as a target", f.key)
		}
	}
	for reason, want := range map[string]string{"unreadable": "2", "bad_key": "3", "unknown_state": "1"} {
		if got := w.rejectedMetric(reason); got != want {
			t.Errorf("%s was counted %q times, want %s", reason, got, want)
		}
	}
	w.store.Set("servers/f1", []byte("again"))
	w.until("a change of it is logged again", func() bool { return log.rejectionCount("servers/f1", "unreadable") == 2 })
	w.store.Set("servers/f1", targetEntry(unlisted, "", ""))
	w.until("the entry that became valid is used", func() bool { return w.usable("f1") })
	w.store.Remove("servers/f3")
	w.store.Remove("servers/f1")
	w.until("it is removed", func() bool { return !w.usable("f1") })
	w.checkServes("no foreign target")
	if v := w.node.view.Config().Version; v != int64(w.version) {
		t.Errorf("configuration %d is in use, want the last valid one", v)
	}
	if peers := w.node.view.plan().Peers; len(peers) != 0 || w.node.view.otherCount() != 0 {
		t.Errorf("the node sends to %v", peers)
	}
}

// Guards against a target that stays in use by its last valid entry after that entry was
// overwritten with an invalid one.
func TestTargetWithInvalidEntryIsRemoved(t *testing.T) {
	w, log := newLoggedEnv(t)
	desk := w.plainTargets[0]
	w.until("the target is used", func() bool { return w.usable(desk.ID) })
	for turn, bad := range [][]byte{[]byte("spoilt"), targetEntry(desk, "zone", 7), targetEntry(desk, "service", "nobody's")} {
		w.store.Set("servers/"+desk.ID, bad)
		reason := []string{"unreadable", "wrong_type", "unknown_service"}[turn]
		w.until("the entry is left out", func() bool { return log.rejectionCount("servers/"+desk.ID, reason) == 1 })
		before := len(desk.Seen())
		w.checkServes(reason)
		if len(desk.Seen()) != before || w.usable(desk.ID) {
			t.Errorf("the target is used whose entry is left out: %s", reason)
		}
		w.store.Set("servers/"+desk.ID, desk.Entry("ready").Value)
		w.until("the target is used again", func() bool { return w.usable(desk.ID) })
	}
}

// Guards against targets that are never used because their entries came before the
// configuration that names their service.
func TestServiceNamedLaterIsUsed(t *testing.T) {
	w, log := newLoggedEnv(t)
	early := runner.Start("early", "later", nil)
	t.Cleanup(early.Close)
	w.store.Set(early.Entry("ready").Key, early.Entry("ready").Value)
	w.until("it is left out", func() bool { return log.rejectionCount("servers/early", "unknown_service") == 1 })
	w.configure(goodKey)
	w.until("a configuration that does not name it is applied", func() bool { return w.node.view.Config().Version == int64(w.version) })
	if n := log.rejectionCount("servers/early", "unknown_service"); n != 1 {
		t.Errorf("logged %d times for one change of the entry", n)
	}
	w.lookupService = "later"
	w.configure(goodKey)
	w.until("the configuration names it", func() bool { return w.node.view.Config().Version == int64(w.version) })
	w.until("its target is used", func() bool { return w.send("GET", "/stock/x", "", nil).status == 200 })
	if len(early.Seen()) == 0 {
		t.Error("another target answered")
	}
}

// Guards against an unchanged invalid entry that is logged again, and valid targets that are
// lost, when the store is listed again.
func TestRelistingLogsNothingTwice(t *testing.T) {
	w, log := newLoggedEnv(t)
	w.store.Set("servers/bad", []byte("spoilt"))
	w.until("it is left out", func() bool { return log.rejectionCount("servers/bad", "unreadable") == 1 })
	for range 2 {
		listing, err := w.node.store.List(t.Context(), platform.AllKeys)
		if err != nil {
			t.Fatal(err)
		}
		platform.NewDecoder(w.node.view).Reset(listing.Entries, listing.Revision)
	}
	if n := log.rejectionCount("servers/bad", "unreadable"); n != 1 {
		t.Errorf("logged %d times", n)
	}
	w.checkServes("a listing")
	if log.has("event=target_gone") {
		t.Error("a valid target was removed")
	}
}

// Guards against a rollout that stops because another writer's value stands at the leader's
// key.
func TestOrdersGoOnOverAForeignHolder(t *testing.T) {
	w, log := newLoggedEnv(t)
	for i, bytes := range [][]byte{[]byte("somebody"), {}} {
		w.store.Set("keel/orders", bytes)
		reason := []string{"bad_value", "unreadable"}[i]
		w.until("it is left out", func() bool { return log.rejectionCount("keel/orders", reason) == 1 })
		w.store.Set("op/version/"+model, []byte(fmt.Sprintf(`{"model":"m","version":%d}`, i+2)))
		w.until("the runners have the new weights", func() bool {
			return len(w.runners[0].Orders()) > i && len(w.runners[1].Orders()) > i
		})
	}
}
