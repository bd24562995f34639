package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
	"acaciakeel/platform"
)

// writeOdd writes an entry in place of a target's, with some fields replaced.
func (w *testEnv) writeOdd(r *runner.Runner, fields map[string]any) {
	w.t.Helper()
	e := r.Entry("ready")
	var entry map[string]any
	if err := json.Unmarshal(e.Value, &entry); err != nil {
		w.t.Fatal(err)
	}
	for name, value := range fields {
		entry[name] = value
	}
	value, err := json.Marshal(entry)
	if err != nil {
		w.t.Fatal(err)
	}
	w.awaitRead(func() { w.store.Set(e.Key, value) })
}

// writeOwn writes a target's own entry.
func (w *testEnv) writeOwn(r *runner.Runner, state string) {
	w.t.Helper()
	e := r.Entry(state)
	w.awaitRead(func() { w.store.Set(e.Key, e.Value) })
}

// awaitRead changes the store and waits until all nodes of the test have read the change.
func (w *testEnv) awaitRead(change func()) {
	w.t.Helper()
	change()
	w.version++
	w.store.Set("op/version/read", fmt.Appendf(nil, `{"model":"read","version":%d}`, w.version))
	w.until("the change is read", func() bool { return w.node.view.fleet.DesiredVersion("read") == int64(w.version) })
}

// drains reports whether a target is out of use for new requests at a node.
func drains(n *Node, r *runner.Runner) bool {
	for _, target := range n.view.fleet.Targets(r.Service) {
		if target.ID == r.ID {
			return target.Draining
		}
	}
	return false
}

// Guards against a target's own entries being ignored once another writer's named a start that is
// far ahead: requests went on to it after it was listed as draining.
func TestEntryWithStartAheadEndsWithTheNextEntry(t *testing.T) {
	for name, born := range map[string]func() int64{
		"2^53":          func() int64 { return 1 << 53 },
		"the year 2100": func() int64 { return time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli() },
		"a minute":      func() int64 { return time.Now().Add(time.Minute).UnixMilli() },
	} {
		t.Run(name, func(t *testing.T) {
			w := newEnv(t)
			for _, r := range []*runner.Runner{w.runners[0], w.plainTargets[0]} {
				w.writeOdd(r, map[string]any{"born": born()})
				w.writeOwn(r, "ready")
				w.writeOwn(r, "draining")
				w.until(r.ID+" is taken out of use", func() bool { return drains(w.node, r) })
			}
		})
	}
}

// Guards against requests that expect weights which only another writer's entry names: targets
// refuse them, and no later entry corrects that.
func TestEntryWithWeightsAheadIsCorrected(t *testing.T) {
	for name, named := range map[string]bool{"weights were named": true, "none were named": false} {
		t.Run(name, func(t *testing.T) {
			w := newEnv(t)
			if named {
				w.store.Set("op/version/"+model, fmt.Appendf(nil, `{"model":%q,"version":1}`, model))
			}
			for _, r := range w.runners {
				w.writeOdd(r, map[string]any{"models": []any{map[string]any{"name": model, "version": 1 << 53}}})
			}
			for _, r := range w.runners {
				w.writeOwn(r, "ready")
			}
			w.until("the weights are known again", func() bool {
				for _, target := range w.node.view.fleet.Targets("lm") {
					if target.Weights[model] != 1 {
						return false
					}
				}
				return true
			})
			for i := range 10 {
				if a := w.exchange(w.node, streamRequest(fmt.Sprintf("sound-%d", i), i)); a.status != http.StatusOK || a.body != completeStream() {
					t.Errorf("stream %d: status %d: %s", i, a.status, a.body)
				}
			}
		})
	}
}

// Guards against a false start that entries tell each other after its entry has been replaced.
func TestStartAheadIsNotKeptByOtherNodes(t *testing.T) {
	w := newEnv(t)
	other := w.startPeer("n1")
	r := w.plainTargets[0]
	w.writeOdd(r, map[string]any{"born": time.Now().Add(20 * time.Minute).UnixMilli()})
	w.writeOwn(r, "ready")
	w.writeOwn(r, "draining")
	for _, n := range []*Node{w.node, other} {
		w.until(r.ID+" is taken out of use", func() bool { return drains(n, r) })
	}
}

// Guards against an entry that was deleted coming back with the false start it had.
func TestStartAheadIsForgottenWithItsEntry(t *testing.T) {
	w := newEnv(t)
	r := w.runners[0]
	w.writeOdd(r, map[string]any{"born": time.Now().Add(20 * time.Minute).UnixMilli()})
	w.awaitRead(func() { w.store.Remove(platform.TargetKey(r.ID)) })
	w.writeOwn(r, "ready")
	w.writeOwn(r, "draining")
	w.until(r.ID+" is taken out of use", func() bool { return drains(w.node, r) })
}

// oddEntries returns values that another writer may leave among the targets' entries.
func oddEntries() map[string]string {
	out := map[string]string{}
	for _, depth := range []int{100, 9_999, 10_001, 30_000} {
		out[fmt.Sprint("lists ", depth, " deep")] = strings.Repeat("[", depth) + strings.Repeat("]", depth)
		out[fmt.Sprint("a field ", depth, " deep")] = fmt.Sprintf(`{"service":"lm","address":"127.0.0.1:1","zone":"z1","state":"ready","x":%s1%s}`, strings.Repeat(`{"a":`, depth), strings.Repeat("}", depth))
	}
	for _, number := range []string{"1e400", "-1e400", "1e-400", strings.Repeat("9", 5_000), "9223372036854775808", "-1"} {
		for _, field := range []string{"slots", "seq_no", "born", "cold_remaining_ms"} {
			out[field+" "+number[:min(len(number), 20)]] = fmt.Sprintf(`{"service":"lm","address":"127.0.0.1:1","zone":"z1","state":"ready",%q:%s}`, field, number)
		}
		out["weights "+number[:min(len(number), 20)]] = fmt.Sprintf(`{"service":"lm","address":"127.0.0.1:1","zone":"z1","state":"ready","models":[{"name":"m","version":%s}]}`, number)
	}
	for _, port := range []string{"-1", "0", "65536", "18446744073709551616", ""} {
		out["port "+port] = fmt.Sprintf(`{"service":"lm","address":"127.0.0.1:%s","zone":"z1","state":"ready"}`, port)
	}
	return out
}

// Guards against a node that ends, or stops following the list, for an entry that is deeply nested or
// has a number or a port out of range.
func TestOddEntriesEndNothing(t *testing.T) {
	w := newEnv(t)
	for name, value := range oddEntries() {
		w.store.Set(platform.TargetKey("odd"), []byte(value))
		w.store.Set(platform.TargetKey(w.runners[0].ID), []byte(value))
		w.writeOwn(w.runners[0], "ready")
		if a := w.exchange(w.node, streamRequest("beside-"+fmt.Sprint(lastID), 1)); a.status != http.StatusOK {
			t.Errorf("%s: status %d: %s", name, a.status, a.body)
		}
		lastID++
	}
	// A node that starts reads them in its first listing.
	for _, value := range oddEntries() {
		lastID++
		w.store.Set(platform.TargetKey(fmt.Sprint("odd-", lastID)), []byte(value))
	}
	w.startNode("n1")
}
