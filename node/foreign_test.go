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

// lines keeps a node's log.
type lines struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(line)
}

// leftOut returns how often the log says of a key that it was left out for a reason.
func (l *lines) leftOut(key, reason string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	said := regexp.MustCompile(fmt.Sprintf(`event=entry_left_out key=%s reason=%s revision=\d+`, regexp.QuoteMeta(key), reason))
	return len(said.FindAll(l.out.Bytes(), -1))
}

func (l *lines) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Contains(l.out.Bytes(), []byte(text))
}

// newLoggedWorld returns a world whose node's log is kept.
func newLoggedWorld(t *testing.T) (*world, *lines) {
	t.Helper()
	out := &lines{}
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableTimestamp: true})
	return newWorldWith(t, log), out
}

// entryOf returns a plain target's entry with a field changed; nil drops it.
func entryOf(r *runner.Runner, field string, with any) []byte {
	entry := map[string]any{"service": r.Service, "address": r.Address(), "zone": "z1", "slots": 8, "state": "ready"}
	if with == nil {
		delete(entry, field)
	} else if field != "" {
		entry[field] = with
	}
	value, _ := json.Marshal(entry)
	return value
}

// serves checks that lookups are answered.
func (w *world) serves(beside string) {
	w.t.Helper()
	for range 4 {
		if a := w.send("GET", "/stock/x", "", nil); a.status != 200 {
			w.t.Errorf("a lookup was answered %d (%v) beside %s", a.status, a.err, beside)
		}
	}
}

// uses reports whether requests may go to a target of the list.
func (w *world) uses(id string) bool {
	return w.node.view.fleet.Available(fleet.Instance{ID: id})
}

// counted returns the metric of entries left out for a reason.
func (w *world) counted(reason string) string {
	w.t.Helper()
	resp, err := http.Get("http://" + w.node.doors.metrics.Address() + "/metrics")
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

// Another writer's entries come into the list, change and go, while good targets
// serve. A target without a state or an address counted as ready, and every second
// lookup was sent to nobody. Now each is named in the log with its reason, and no
// request meets it.
func TestForeignEntriesComeChangeAndGo(t *testing.T) {
	w, log := newLoggedWorld(t)
	ghost := runner.Start("ghost", "desk", nil)
	t.Cleanup(ghost.Close)
	for _, f := range []struct {
		reason, key string
		value       []byte
	}{
		{"unreadable", "servers/f1", []byte("\x00\xff{")},
		{"unreadable", "servers/f2", nil},
		{"missing_field", "servers/f3", entryOf(ghost, "state", nil)},
		{"missing_field", "servers/f4", entryOf(ghost, "address", nil)},
		{"wrong_type", "servers/f5", entryOf(ghost, "slots", "many")},
		{"bad_value", "servers/f6", entryOf(ghost, "address", "nowhere")},
		{"unknown_state", "servers/f7", entryOf(ghost, "state", "resting")},
		{"unknown_service", "servers/f8", entryOf(ghost, "service", "somebody's")},
		{"bad_key", "servers/", entryOf(ghost, "", "")},
		{"bad_key", "servers/a/b", entryOf(ghost, "", "")},
		{"bad_key", "keel/members/one", []byte("127.0.0.1:9")},
		{"bad_value", "keel/members/n9/5f1c0c9e-6f0e-4f0e-9d7c-0b9d1c1f0a11", []byte("a machine")},
		{"missing_field", "op/config", []byte(`{"version":99}`)},
		{"wrong_type", "op/version/" + model, []byte(`{"model":"m","version":"two"}`)},
	} {
		w.store.Set(f.key, f.value)
		w.until(f.key+" is left out", func() bool { return log.leftOut(f.key, f.reason) == 1 })
		w.serves(f.key)
		if id, ok := strings.CutPrefix(f.key, "servers/"); ok && w.uses(id) {
			t.Errorf("%s names a target", f.key)
		}
	}
	for reason, want := range map[string]string{"unreadable": "2", "bad_key": "3", "unknown_state": "1"} {
		if got := w.counted(reason); got != want {
			t.Errorf("%s was counted %q times, want %s", reason, got, want)
		}
	}
	w.store.Set("servers/f1", []byte("again"))
	w.until("a change of it is said once more", func() bool { return log.leftOut("servers/f1", "unreadable") == 2 })
	w.store.Set("servers/f1", entryOf(ghost, "", ""))
	w.until("the entry that became good is used", func() bool { return w.uses("f1") })
	w.store.Remove("servers/f3")
	w.store.Remove("servers/f1")
	w.until("it went", func() bool { return !w.uses("f1") })
	w.serves("no foreign target")
	if v := w.node.view.Config().Version; v != int64(w.version) {
		t.Errorf("configuration %d is in force, want the last good one", v)
	}
	if told := w.node.view.plan().Peers; len(told) != 0 || w.node.view.others() != 0 {
		t.Errorf("the node tells %v", told)
	}
}

// A target's entry is good, then spoilt, then good again. While it was spoilt its
// last good state went on being used: a target about whom nothing was known any more.
func TestEntryThatTurnsBadNamesNoTarget(t *testing.T) {
	w, log := newLoggedWorld(t)
	desk := w.desks[0]
	w.until("the target is used", func() bool { return w.uses(desk.ID) })
	for turn, bad := range [][]byte{[]byte("spoilt"), entryOf(desk, "zone", 7), entryOf(desk, "service", "nobody's")} {
		w.store.Set("servers/"+desk.ID, bad)
		reason := []string{"unreadable", "wrong_type", "unknown_service"}[turn]
		w.until("the entry is left out", func() bool { return log.leftOut("servers/"+desk.ID, reason) == 1 })
		before := len(desk.Seen())
		w.serves(reason)
		if len(desk.Seen()) != before || w.uses(desk.ID) {
			t.Errorf("the target is used whose entry is left out: %s", reason)
		}
		w.store.Set("servers/"+desk.ID, desk.Entry("ready").Value)
		w.until("the target is used again", func() bool { return w.uses(desk.ID) })
	}
}

// An entry of a service comes before the configuration that names it, as a service
// is set up. Judged once only, its targets would never be used: they write again
// only when something changes.
func TestServiceNamedLaterIsUsed(t *testing.T) {
	w, log := newLoggedWorld(t)
	early := runner.Start("early", "later", nil)
	t.Cleanup(early.Close)
	w.store.Set(early.Entry("ready").Key, early.Entry("ready").Value)
	w.until("it is left out", func() bool { return log.leftOut("servers/early", "unknown_service") == 1 })
	w.configure(goodKey)
	w.until("a configuration came that does not name it", func() bool { return w.node.view.Config().Version == int64(w.version) })
	if n := log.leftOut("servers/early", "unknown_service"); n != 1 {
		t.Errorf("said %d times for one change of the entry", n)
	}
	w.stock = "later"
	w.configure(goodKey)
	w.until("the configuration names it", func() bool { return w.node.view.Config().Version == int64(w.version) })
	w.until("its target is used", func() bool { return w.send("GET", "/stock/x", "", nil).status == 200 })
	if len(early.Seen()) == 0 {
		t.Error("another target answered")
	}
}

// The store loses its history, and everything is listed anew, with a bad entry that
// has not changed. It is said no second time, and nothing good is lost.
func TestRelistingSaysNothingTwice(t *testing.T) {
	w, log := newLoggedWorld(t)
	w.store.Set("servers/bad", []byte("spoilt"))
	w.until("it is left out", func() bool { return log.leftOut("servers/bad", "unreadable") == 1 })
	for range 2 {
		listing, err := w.node.store.List(t.Context(), platform.AllKeys)
		if err != nil {
			t.Fatal(err)
		}
		platform.NewDecoder(w.node.view).Reset(listing.Entries, listing.Revision)
	}
	if n := log.leftOut("servers/bad", "unreadable"); n != 1 {
		t.Errorf("said %d times", n)
	}
	w.serves("a listing")
	if log.has("event=target_gone") {
		t.Error("a good target was lost")
	}
}

// Another writer's bytes stand where the holder of the orders does. New weights must
// roll out all the same.
func TestOrdersGoOnOverAForeignHolder(t *testing.T) {
	w, log := newLoggedWorld(t)
	for i, bytes := range [][]byte{[]byte("somebody"), {}} {
		w.store.Set("keel/orders", bytes)
		reason := []string{"bad_value", "unreadable"}[i]
		w.until("it is left out", func() bool { return log.leftOut("keel/orders", reason) == 1 })
		w.store.Set("op/version/"+model, []byte(fmt.Sprintf(`{"model":"m","version":%d}`, i+2)))
		w.until("the runners have the new weights", func() bool {
			return len(w.runners[0].Orders()) > i && len(w.runners[1].Orders()) > i
		})
	}
}
