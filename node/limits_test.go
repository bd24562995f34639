package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
	"acaciakeel/quota"
)

// settleTime is how long after its start a process assumes that bursts are used up.
const settleTime = 1200 * time.Millisecond

// setLimit changes fields of the customer in the configuration, once the nodes have settled.
func (w *testEnv) setLimit(fields map[string]any) {
	w.t.Helper()
	w.until("the nodes have settled", func() bool { return time.Since(w.lastStart) > settleTime })
	w.customer = fields
	w.configure(goodKey)
}

func (w *testEnv) limitsOf(n *Node) quota.State {
	w.t.Helper()
	resp, err := http.Get("http://" + n.servers.metrics.Address() + "/limits")
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	var s quota.State
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		w.t.Fatal(err)
	}
	return s
}

func (w *testEnv) waitForLimit(n *Node, rate float64) {
	w.t.Helper()
	w.until("the limit is applied", func() bool {
		uses := w.limitsOf(n).Customers
		return len(uses) == 1 && uses[0].Rate == rate && uses[0].Remaining == uses[0].Burst
	})
}

// Guards against a limit that each node grants in full: two nodes must refuse together what
// one would.
func TestNodesShareALimit(t *testing.T) {
	w := newEnv(t)
	other := w.startNode("n1")
	w.setLimit(map[string]any{"rate_per_s": 0.5, "burst": 10, "unit": "requests"})
	for _, n := range []*Node{w.node, other} {
		w.waitForLimit(n, 0.5)
		w.until("the nodes receive each other's updates", func() bool { return w.limitsOf(n).Reachable == 2 })
	}
	for i := range 11 {
		w.send("GET", fmt.Sprintf("/stock/%d", i), "", nil)
	}
	w.until("the other node knows of it", func() bool { return w.limitsOf(other).Customers[0].Remaining < 5 })
	served := 0
	for i := range 11 {
		a := w.sendTo(other, "GET", "/stock/9", "", fmt.Sprintf("far-%d", i), nil)
		if a.status == http.StatusOK {
			served++
		} else if after, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64); a.status != http.StatusTooManyRequests || after <= 0 || !strings.Contains(a.body, "contract_exceeded") {
			t.Errorf("refused with %d, Retry-After %q: %s", a.status, a.header.Get("Retry-After"), a.body)
		}
	}
	if served > 5 {
		t.Errorf("the other node served %d more beyond the limit", served)
	}
	if ran := len(w.executed(w.plainTargets)); ran > 11+served {
		t.Errorf("%d ran", ran)
	}
}

// Guards against customers that are charged for requests that no target ran.
func TestUnrunRequestIsRefunded(t *testing.T) {
	w := newEnv(t)
	w.setLimit(map[string]any{"rate_per_s": 0.001, "burst": 1000, "unit": "tokens", "uncached_tokens": 100})
	w.waitForLimit(w.node, 0.001)
	left := func() float64 { return w.limitsOf(w.node).Customers[0].Remaining }
	if a := w.send("GET", "/stock/1", "", nil); a.status != http.StatusOK {
		t.Fatalf("answered %d", a.status)
	}
	if got := left(); got < 899 || got > 901 {
		t.Errorf("%v left after a request without a token count, want 900", got)
	}
	for _, d := range w.plainTargets {
		d.SetFault(runner.Shed)
	}
	if a := w.send("GET", "/stock/2", "", nil); a.status == http.StatusOK {
		t.Fatal("served by targets that refuse")
	}
	if got := left(); got < 899 || got > 901 {
		t.Errorf("%v left after a request that no target ran, want 900", got)
	}
}

// Guards against an invalid limit that takes effect: the previous configuration must hold, and
// the fault be logged once.
func TestInvalidLimitKeepsPreviousConfiguration(t *testing.T) {
	w, out := newLoggedEnv(t)
	w.setLimit(map[string]any{"rate_per_s": 7, "burst": 10, "unit": "requests"})
	w.waitForLimit(w.node, 7)
	for reason, invalid := range map[string]map[string]any{"bad_value": {"rate_per_s": -1}, "wrong_type": {"rate_per_s": "many"}} {
		before := out.rejectionCount("op/config", reason)
		w.setLimit(invalid)
		w.until("the fault is logged", func() bool { return out.rejectionCount("op/config", reason) == before+1 })
		if rate := w.limitsOf(w.node).Customers[0].Rate; rate != 7 {
			t.Errorf("%v set the rate %v", invalid, rate)
		}
	}
	if a := w.send("GET", "/stock/1", "", nil); a.status != http.StatusOK {
		t.Errorf("answered %d", a.status)
	}
}

// isCounted reports whether the store has the count of the environment's only node.
func (w *testEnv) isCounted() bool {
	entry, err := w.node.store.Get(w.t.Context(), w.node.view.keys.nodeCount)
	return err == nil && string(entry.Value) == "1"
}

// Guards against a node count that is never written again because another writer's value
// stands at its key: after a restart of all nodes each would admit the whole of each limit.
func TestNodeCountReplacesForeignEntry(t *testing.T) {
	w, log := newLoggedEnv(t)
	key := w.node.view.keys.nodeCount
	w.until("the node is counted", w.isCounted)
	for i, bytes := range [][]byte{[]byte("somebody"), {}} {
		w.store.Set(key, bytes)
		reason := []string{"bad_value", "unreadable"}[i]
		w.until("it is left out", func() bool { return log.rejectionCount(key, reason) == 1 })
		w.until("the node is counted again", w.isCounted)
	}
}

// Guards against a node count that is never written again because its key was removed.
func TestRemovedNodeCountIsStoredAgain(t *testing.T) {
	w := newEnv(t)
	w.until("the node is counted", w.isCounted)
	w.store.Remove(w.node.view.keys.nodeCount)
	w.until("the node is counted again", w.isCounted)
}
