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

// settled is how long a process knows of no burst that is left.
const settled = 1200 * time.Millisecond

// limit changes fields of the customer in the configuration, once the nodes are not new.
func (w *world) limit(fields map[string]any) {
	w.t.Helper()
	w.until("the nodes are not new any more", func() bool { return time.Since(w.newest) > settled })
	w.customer = fields
	w.configure(goodKey)
}

func (w *world) limitsOf(n *Node) quota.State {
	w.t.Helper()
	resp, err := http.Get("http://" + n.listeners.metrics.Address() + "/limits")
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

func (w *world) untilLimit(n *Node, rate float64) {
	w.t.Helper()
	w.until("the limit is in force", func() bool {
		uses := w.limitsOf(n).Customers
		return len(uses) == 1 && uses[0].Rate == rate && uses[0].Remaining == uses[0].Burst
	})
}

// Guards against a limit that each entry grants anew: two entries must refuse together
// what one would.
func TestEntriesShareALimit(t *testing.T) {
	w := newWorld(t)
	other := w.startNode("n1")
	w.limit(map[string]any{"rate_per_s": 0.5, "burst": 10, "unit": "requests"})
	for _, n := range []*Node{w.node, other} {
		w.untilLimit(n, 0.5)
		w.until("the entries hear each other", func() bool { return w.limitsOf(n).Reachable == 2 })
	}
	for i := range 11 {
		w.send("GET", fmt.Sprintf("/stock/%d", i), "", nil)
	}
	w.until("the other entry has heard of it", func() bool { return w.limitsOf(other).Customers[0].Remaining < 5 })
	served := 0
	for i := range 11 {
		a := w.sendTo(other, "GET", "/stock/9", "", fmt.Sprintf("far-%d", i), nil)
		if a.status == http.StatusOK {
			served++
		} else if after, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64); a.status != http.StatusTooManyRequests || after <= 0 || !strings.Contains(a.body, "contract_exceeded") {
			t.Errorf("refused with %d, come back after %q: %s", a.status, a.header.Get("Retry-After"), a.body)
		}
	}
	if served > 5 {
		t.Errorf("the other entry served %d more beyond the limit", served)
	}
	if ran := len(w.ran(w.desks)); ran > 11+served {
		t.Errorf("%d ran", ran)
	}
}

// Guards against customers that pay for what no target ran.
func TestNotRunIsGivenBack(t *testing.T) {
	w := newWorld(t)
	w.limit(map[string]any{"rate_per_s": 0.001, "burst": 1000, "unit": "tokens", "uncached_tokens": 100})
	w.untilLimit(w.node, 0.001)
	left := func() float64 { return w.limitsOf(w.node).Customers[0].Remaining }
	if a := w.send("GET", "/stock/1", "", nil); a.status != http.StatusOK {
		t.Fatalf("answered %d", a.status)
	}
	if got := left(); got < 899 || got > 901 {
		t.Errorf("%v left after a request that does not say its tokens, want 900", got)
	}
	for _, d := range w.desks {
		d.SetFault(runner.Shed)
	}
	if a := w.send("GET", "/stock/2", "", nil); a.status == http.StatusOK {
		t.Fatal("served by full targets")
	}
	if got := left(); got < 899 || got > 901 {
		t.Errorf("%v left after a request that nobody ran, want 900", got)
	}
}

// Guards against a limit that can't be meant: the configuration before holds, and it is
// said once.
func TestOddLimitLeavesTheConfigurationBefore(t *testing.T) {
	w, out := newLoggedWorld(t)
	w.limit(map[string]any{"rate_per_s": 7, "burst": 10, "unit": "requests"})
	w.untilLimit(w.node, 7)
	for reason, odd := range map[string]map[string]any{"bad_value": {"rate_per_s": -1}, "wrong_type": {"rate_per_s": "many"}} {
		before := out.leftOut("op/config", reason)
		w.limit(odd)
		w.until("the fault is said", func() bool { return out.leftOut("op/config", reason) == before+1 })
		if rate := w.limitsOf(w.node).Customers[0].Rate; rate != 7 {
			t.Errorf("%v put the rate %v into force", odd, rate)
		}
	}
	if a := w.send("GET", "/stock/1", "", nil); a.status != http.StatusOK {
		t.Errorf("answered %d", a.status)
	}
}
