package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciakeel/internal/faultproxy"
	"acaciakeel/internal/standin/kv"
	"acaciakeel/internal/standin/runner"
)

// Bounds of what must hold after the store's return.
const (
	// applyBound is for how long a change may be unknown to a node.
	applyBound = 4 * time.Second
	// memberBound is for how long entries that lapsed with the store may be missing.
	memberBound = 2 * time.Second
	// leaveBound is for how long a target may get requests after it said that it leaves.
	leaveBound = 2 * time.Second
	// orderBound is for how long no leader may give orders.
	orderBound = 8 * time.Second
	// judgedBound is for how long the requests and orders after the store's return are judged.
	judgedBound = 3 * time.Second
	// turnBound is within which holders may not take turns, as in the nodes' settings.
	turnBound = 3 * time.Second
)

// restore is how the store comes back from a copy.
type restore struct {
	// era has the store's responses say in which history they are.
	era bool
	// away is for how long it is away.
	away time.Duration
	// early has the others write before it is back for the nodes, beyond so much that its revision
	// is then higher than any that the nodes know.
	early, beyond bool
	// twice has it come back from the copy once more, a moment later.
	twice bool
	// restart has a node restart meanwhile.
	restart bool
	// leases has other processes get the leases that were granted after the copy.
	leases bool
}

func (r restore) String() string {
	var parts []string
	for name, set := range map[string]bool{"1era": r.era, "2away": r.away > 0, "3early": r.early, "4beyond": r.beyond, "5twice": r.twice, "6restart": r.restart, "7leases": r.leases} {
		if set {
			parts = append(parts, name)
		}
	}
	if len(parts) == 0 {
		return "plain"
	}
	slices.Sort(parts)
	for i := range parts {
		parts[i] = parts[i][1:]
	}
	return strings.Join(parts, "_")
}

const longAway = 1500 * time.Millisecond

var restores = []restore{
	{},
	{era: true},
	{away: longAway},
	{away: longAway, early: true},
	{away: longAway, early: true, era: true},
	{beyond: true},
	{away: longAway, beyond: true},
	{away: longAway, beyond: true, era: true},
	{twice: true},
	{away: longAway, beyond: true, twice: true},
	{away: longAway, restart: true},
	{away: longAway, beyond: true, restart: true, era: true},
}

// fewRestores are those for tests that have variants of their own.
var fewRestores = []restore{
	{},
	{away: longAway, early: true, era: true},
	{away: longAway, beyond: true},
	{twice: true, restart: true},
}

// restoredEnv is an environment with three nodes and a store that comes back from a copy.
type restoredEnv struct {
	*testEnv
	how     restore
	service *kv.Server
	nodes   []*Node
	proxies []*faultproxy.Proxy
	// restarts is the node that restarts if one does.
	restarts int
	copied   kv.Copy
	// returned is when the store was back for the nodes.
	returned time.Time

	mu sync.Mutex
	// writes counts the writes that arrived, other than renewals of leases.
	writes int
	probes []probe
	stop   chan struct{}
	done   sync.WaitGroup
}

// probe is one request to a node.
type probe struct {
	node   int
	id     string
	sent   time.Time
	status int
	// judged is set if the request counts for the test.
	judged bool
}

// newRestoredEnv returns an environment with one node; startPeers starts the others.
func newRestoredEnv(t *testing.T, how restore) *restoredEnv {
	t.Helper()
	t.Parallel()
	w := &restoredEnv{how: how, restarts: 2, stop: make(chan struct{})}
	w.testEnv = newEnvWith(t, newFailureLog(t), func(e *testEnv) {
		e.kv.Close()
		w.service = kv.NewServer(e.store)
		w.service.SendsEra = how.era
		served := w.service.Handler()
		e.kv = httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/kv-txn" || r.URL.Path == "/kv-lease" {
				w.mu.Lock()
				w.writes++
				w.mu.Unlock()
			}
			served.ServeHTTP(rw, r)
		}))
		e.kv.Listener = w.service.Listen(e.kv.Listener)
		e.kv.Start()
		w.proxies = append(w.proxies, newStoreProxy(t, e))
	})
	w.nodes = []*Node{w.node}
	w.until("a node leads", func() bool { return w.store.Value(w.node.view.keys.leader) != nil })
	t.Cleanup(w.endProbes)
	return w
}

// newStoreProxy has the node that is started next reach the store through a proxy.
func newStoreProxy(t *testing.T, e *testEnv) *faultproxy.Proxy {
	t.Helper()
	p, err := faultproxy.New(strings.TrimPrefix(e.kv.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	e.storeVia = p.Addr()
	return p
}

// startPeers starts the other nodes.
func (w *restoredEnv) startPeers() {
	w.t.Helper()
	for _, name := range []string{"n1", "n2"} {
		w.proxies = append(w.proxies, newStoreProxy(w.t, w.testEnv))
		w.nodes = append(w.nodes, w.startNode(name))
	}
	w.until("all nodes are peers", func() bool {
		return !slices.ContainsFunc(w.nodes, func(n *Node) bool { return len(n.view.plan().Peers) != 2 })
	})
}

// list writes the entry of a target.
func (w *restoredEnv) list(r *runner.Runner, state string) {
	e := r.Entry(state)
	w.store.Set(e.Key, e.Value)
}

// lostBeats is how many changes come after the copy and are lost, at least.
const lostBeats = 20

// lostLeases is how many leases were granted after a copy, at most.
const lostLeases = 5

// beat has a target write its entry so many times.
func (w *restoredEnv) beat(times int) {
	for range times {
		w.list(w.plainTargets[0], "ready")
	}
}

// addRoute has the operator write a configuration with one more route.
func (w *restoredEnv) addRoute(name string) {
	w.routes = append(w.routes, map[string]any{"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "kind": "idempotent", "service": "desk", "timeout_ms": 5000, "target_latency_ms": 2000, "attempts": 2})
	w.configure(goodKey, otherKey)
}

// loseChanges has changes be made that come after the copy, and waits until all nodes know them.
func (w *restoredEnv) loseChanges(change func()) {
	w.t.Helper()
	change()
	w.beat(lostBeats)
	w.addRoute("first")
	for i := range w.nodes {
		w.until(fmt.Sprintf("n%d serves the route of the last change", i), func() bool { return w.serves(i, "first") })
	}
}

func (w *restoredEnv) serves(node int, route string) bool {
	return w.request(node, "/"+route+"/x", goodKey, false).status == http.StatusOK
}

// request sends a request to a node and keeps it among the probes.
func (w *restoredEnv) request(node int, path, key string, judged bool) probe {
	w.mu.Lock()
	p := probe{node: node, id: fmt.Sprintf("probe-%d-%d", node, len(w.probes)), sent: time.Now(), judged: judged}
	w.probes = append(w.probes, p)
	at, n := len(w.probes)-1, w.nodes[node]
	w.mu.Unlock()
	p.status = w.sendTo(n, http.MethodGet, path, "", p.id, map[string]string{"Key": key}).status
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probes[at].status = p.status
	return p
}

// knowing returns the nodes that knew the store's contents before it was restored and are still there.
func (w *restoredEnv) knowing() []int {
	all := []int{0, 1, 2}
	if w.how.restart {
		return slices.Delete(all, w.restarts, w.restarts+1)
	}
	return all
}

// probePause is the pause between the requests to a node.
const probePause = 40 * time.Millisecond

// probe sends requests to each of the nodes that knew, until endProbes.
func (w *restoredEnv) probe(path, key string) {
	for _, node := range w.knowing() {
		w.done.Go(func() {
			for {
				w.request(node, path, key, true)
				select {
				case <-time.After(probePause):
				case <-w.stop:
					return
				}
			}
		})
	}
}

// judge reports the probes with a status, and fails if there was none at all.
func (w *restoredEnv) judge(wrong int, what string) {
	w.t.Helper()
	w.endProbes()
	all, count := 0, map[int]int{}
	var first probe
	for _, p := range w.probes {
		if !p.judged {
			continue
		}
		all++
		if p.status == wrong {
			if count[p.node]++; first.sent.IsZero() {
				first = p
			}
		}
	}
	if all == 0 {
		w.t.Error("no request was sent")
	}
	if len(count) > 0 {
		w.t.Errorf("%s: requests by node %v of %d in all, the first %v after the store's return", what, count, all, first.sent.Sub(w.returned).Round(time.Millisecond))
	}
}

func (w *restoredEnv) endProbes() {
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	w.done.Wait()
}

// restore brings the store back from the copy. The others then make their changes.
func (w *restoredEnv) restore(change func()) {
	w.t.Helper()
	w.restoreOnce(change)
	if w.how.twice {
		time.Sleep(700 * time.Millisecond)
		w.restoreOnce(change)
	}
	if w.how.restart {
		w.storeVia = w.proxies[w.restarts].Addr()
		n := w.startNode(fmt.Sprintf("n%d", w.restarts))
		w.mu.Lock()
		defer w.mu.Unlock()
		w.nodes[w.restarts] = n
	}
}

func (w *restoredEnv) restoreOnce(change func()) {
	known := w.store.Revision()
	w.service.SetAway(true)
	if w.how.restart {
		w.nodes[w.restarts].cancel()
	}
	time.Sleep(w.how.away / 2)
	w.service.Restore(w.copied)
	if w.how.leases {
		for range lostLeases {
			w.store.Grant(time.Minute)
		}
	}
	early := w.how.early || w.how.beyond
	if early {
		change()
	}
	if w.how.beyond {
		w.beat(int(known-w.store.Revision()) + lostBeats)
	}
	time.Sleep(w.how.away / 2)
	w.mu.Lock()
	w.writes = 0
	w.returned = time.Now()
	w.mu.Unlock()
	w.service.SetAway(false)
	if !early {
		time.Sleep(200 * time.Millisecond)
		change()
	}
}

// untilBound reports whether done was true by bound after the store's return.
func (w *restoredEnv) untilBound(bound time.Duration, done func() bool) bool {
	for end := w.returned.Add(bound); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return done()
}

// Guards against nodes that follow the store after a revision of its former history, and so miss
// configurations of the new one or go back to the copy's.
func TestAddedRouteIsServedAfterRestore(t *testing.T) {
	for _, how := range restores {
		t.Run(how.String(), func(t *testing.T) {
			w := newRestoredEnv(t, how)
			w.startPeers()
			w.copied = w.store.Copy()
			w.loseChanges(func() {})
			w.probe("/first/x", goodKey)
			former, added := w.store.Value("op/config"), []byte(nil)
			w.restore(func() {
				if how.away > 0 {
					w.store.Set("op/config", former)
				}
				if added == nil {
					w.addRoute("second")
					added = w.store.Value("op/config")
				}
				w.store.Set("op/config", added)
			})
			for i := range w.nodes {
				if !w.untilBound(applyBound, func() bool { return w.serves(i, "second") }) {
					t.Errorf("n%d does not serve the added route %v after the store's return", i, applyBound)
				}
			}
			w.judge(http.StatusNotFound, "went back to a configuration without the first route")
		})
	}
}

// Guards against requests to a target that has said it is leaving: the copy has it ready, or the nodes
// miss that it says so after the restore.
func TestLeavingTargetGetsNothingAfterRestore(t *testing.T) {
	drain := func(w *restoredEnv, r *runner.Runner) { w.list(r, "draining") }
	remove := func(w *restoredEnv, r *runner.Runner) { w.store.Remove(r.Entry("ready").Key) }
	stay := func(*restoredEnv, *runner.Runner) {}
	for name, leaves := range map[string]struct {
		before, after func(*restoredEnv, *runner.Runner)
		// bound is for how long after the store's return it may get requests.
		bound time.Duration
	}{
		"drains_and_says_it_again":     {before: drain, after: drain},
		"drained_and_gone":             {before: drain, after: stay},
		"removed_and_gone":             {before: remove, after: stay},
		"drains_after_the_restore":     {before: stay, after: drain, bound: leaveBound},
		"is_removed_after_the_restore": {before: stay, after: remove, bound: leaveBound},
	} {
		for _, how := range fewRestores {
			t.Run(name+"/"+how.String(), func(t *testing.T) {
				w := newRestoredEnv(t, how)
				w.startPeers()
				leaving := w.plainTargets[1]
				w.copied = w.store.Copy()
				w.loseChanges(func() { leaves.before(w, leaving) })
				time.Sleep(100 * time.Millisecond) // requests under way end
				before := len(leaving.Seen())
				w.probe("/stock/x", goodKey)
				w.restore(func() { leaves.after(w, leaving) })
				time.Sleep(time.Until(w.returned.Add(judgedBound)))
				w.judge(0, "got no answer")
				w.judgeLeaving(leaving.Seen()[before:], leaves.bound)
			})
		}
	}
}

// judgeLeaving reports the requests of nodes that knew that a target was leaving, from the start or,
// if bound is set, from then on after the store's return.
func (w *restoredEnv) judgeLeaving(seen []runner.Seen, bound time.Duration) {
	w.t.Helper()
	sentBy, arrived := map[string]int{}, map[int]int{}
	for _, p := range w.probes {
		if p.judged {
			sentBy[p.id] = p.node
		}
	}
	var first time.Time
	for _, s := range seen {
		if node, ok := sentBy[s.ID]; ok && (bound == 0 || s.At.After(w.returned.Add(bound))) {
			if arrived[node]++; first.IsZero() {
				first = s.At
			}
		}
	}
	if len(arrived) > 0 {
		w.t.Errorf("the target that was leaving got requests by node %v, the first %v after the store's return", arrived, first.Sub(w.returned).Round(time.Millisecond))
	}
}

// Guards against weights for which no order is given: they were named at a revision that the nodes had
// passed before the store was restored.
func TestWeightsAreLoadedAfterRestore(t *testing.T) {
	for _, how := range restores {
		t.Run(how.String(), func(t *testing.T) {
			w := newRestoredEnv(t, how)
			w.startPeers()
			w.copied = w.store.Copy()
			w.loseChanges(func() {})
			w.restore(func() { w.nameWeights(2) })
			if !w.untilBound(orderBound, func() bool { return w.loaded(2) }) {
				t.Errorf("the weights are not loaded %v after the store's return", orderBound)
			}
		})
	}
}

// loaded reports whether all runners have weights of a version, or newer ones.
func (w *restoredEnv) loaded(version int64) bool {
	return !slices.ContainsFunc(w.runners, func(r *runner.Runner) bool { return r.Weights(model) < version })
}

// Guards against two leaders with one fencing token, tokens that fall, leaders that take turns, and
// orders that are not given any more: the copy has no leader, and its leases are given out again.
func TestOrdersOfTwoLeadersAfterRestore(t *testing.T) {
	for _, former := range []string{"alive", "killed", "cut_off"} {
		for _, how := range fewRestores {
			t.Run(former+"/"+how.String(), func(t *testing.T) {
				w := newRestoredEnv(t, how)
				w.store.Remove(w.node.view.keys.leader)
				w.copied = w.store.Copy()
				w.startPeers()
				w.loseChanges(func() { w.nameWeights(2) })
				w.until("the weights are loaded", func() bool { return w.loaded(2) })
				leader := w.leader()
				w.restarts = (leader + 1) % len(w.nodes)
				w.service.SetAway(how.away > 0)
				switch former {
				case "killed":
					w.nodes[leader].cancel()
				case "cut_off":
					w.proxies[leader].SetRefuse(true)
					w.proxies[leader].Cut()
				}
				version := int64(2)
				w.restore(func() {
					version++
					w.nameWeights(version)
				})
				ordered := w.untilBound(orderBound, func() bool {
					time.Sleep(300 * time.Millisecond)
					version++
					w.nameWeights(version)
					return w.ordered(leader, former == "alive") && time.Since(w.returned) > judgedBound+turnBound
				})
				if !ordered && !w.ordered(leader, former == "alive") {
					t.Errorf("no order of the nodes that remain %v after the store's return", orderBound)
				}
				for _, wrong := range w.misorders() {
					t.Error(wrong)
				}
			})
		}
	}
}

// leader returns the node that holds the leader lock by the store.
func (w *restoredEnv) leader() int {
	w.t.Helper()
	holder := string(w.store.Value(w.node.view.keys.leader))
	at := slices.IndexFunc(w.nodes, func(n *Node) bool { return n.name == holder })
	if at < 0 {
		w.t.Fatalf("no node holds the leader lock: %q", holder)
	}
	return at
}

// ordered reports whether an order was given after the store's return, by another node than the former
// leader unless that counts too.
func (w *restoredEnv) ordered(former int, counts bool) bool {
	name := fmt.Sprintf("n%d", former)
	return slices.ContainsFunc(w.arrivals(), func(a runner.Arrival) bool {
		return a.At.After(w.returned) && (counts || a.Holder != name)
	})
}

// arrivals returns the orders that arrived at all runners, in their order.
func (w *restoredEnv) arrivals() []runner.Arrival {
	var out []runner.Arrival
	for _, r := range w.runners {
		out = append(out, r.OrderArrivals()...)
	}
	slices.SortStableFunc(out, func(a, b runner.Arrival) int { return a.At.Compare(b.At) })
	return out
}

// misorders returns what was wrong with the orders, the first case of each kind.
func (w *restoredEnv) misorders() []string {
	holders, last, wrong := map[int64]string{}, map[string]time.Time{}, map[string]string{}
	note := func(kind, format string, args ...any) {
		if wrong[kind] == "" {
			wrong[kind] = kind + ": " + fmt.Sprintf(format, args...)
		}
	}
	var highest, previous runner.Arrival
	for _, a := range w.arrivals() {
		after := a.At.Sub(w.returned).Round(time.Millisecond)
		if other, ok := holders[a.Fence]; ok && other != a.Holder {
			note("one token of two holders", "%d of %s and of %s, %v after the store's return", a.Fence, other, a.Holder, after)
		}
		if a.Fence < highest.Fence {
			note("a lower token after a higher one", "%d of %s after %d of %s, %v after the store's return", a.Fence, a.Holder, highest.Fence, highest.Holder, after)
		}
		if at, ok := last[a.Holder]; ok && previous.Holder != a.Holder && a.At.Sub(at) < turnBound {
			note("holders take turns", "%s, %s and %s within %v, %v after the store's return", a.Holder, previous.Holder, a.Holder, a.At.Sub(at).Round(time.Millisecond), after)
		}
		if a.Fence >= highest.Fence {
			highest = a
		}
		holders[a.Fence], last[a.Holder], previous = a.Holder, a.At, a
	}
	var out []string
	for _, text := range wrong {
		out = append(out, text)
	}
	slices.Sort(out)
	return out
}

// writesPerNode bounds the writes by which a node puts back what the store has lost: its lease, its
// entry, the count of nodes, the lock and the record of its holders, and one whose condition fails.
const writesPerNode = 6

// Guards against nodes that the others ignore as the store came back without their entries, and against
// a burst of writes by which they put them back.
func TestMembersAreBackAfterRestore(t *testing.T) {
	for _, how := range append(slices.Clone(restores), restore{leases: true}, restore{away: longAway, leases: true}, restore{away: longAway, beyond: true, leases: true, era: true}) {
		t.Run(how.String(), func(t *testing.T) {
			w := newRestoredEnv(t, how)
			w.copied = w.store.Copy()
			w.startPeers()
			w.loseChanges(func() {})
			w.restore(func() {})
			for _, i := range w.knowing() {
				key := w.nodes[i].view.self
				if !w.untilBound(memberBound, func() bool { return w.store.Value(key) != nil }) {
					t.Errorf("n%d is not among the members %v after the store's return", i, memberBound)
				}
			}
			time.Sleep(time.Until(w.returned.Add(memberBound)))
			w.mu.Lock()
			defer w.mu.Unlock()
			if most := writesPerNode * len(w.nodes); w.writes > most {
				t.Errorf("%d writes within %v, want %d at most", w.writes, memberBound, most)
			}
			t.Logf("%d writes within %v", w.writes, memberBound)
		})
	}
}

// Guards against requests with a key that was withdrawn and that the copy still has, at nodes that had
// applied the withdrawal.
func TestWithdrawnKeyIsRefusedAfterRestore(t *testing.T) {
	for _, how := range fewRestores {
		t.Run(how.String(), func(t *testing.T) {
			w := newRestoredEnv(t, how)
			w.startPeers()
			w.copied = w.store.Copy()
			w.loseChanges(func() {})
			w.configure(goodKey)
			withdrawn := w.store.Value("op/config")
			for i := range w.nodes {
				w.until("the key is refused", func() bool { return w.request(i, "/first/x", otherKey, false).status == http.StatusUnauthorized })
			}
			w.probe("/stock/x", otherKey)
			w.restore(func() {
				if how.era {
					w.store.Set("op/config", withdrawn)
				}
			})
			time.Sleep(time.Until(w.returned.Add(judgedBound)))
			for _, i := range w.knowing() {
				if got := w.request(i, "/stock/x", goodKey, false).status; got != http.StatusOK {
					t.Errorf("n%d answers %d to the key that stays", i, got)
				}
			}
			w.judge(http.StatusOK, "served a key that was withdrawn")
		})
	}
}

// Guards against a node that writes in the store's new history and reads its view in the former one.
func TestViewEntersTheHistoryThatAnyCallShows(t *testing.T) {
	w := newRestoredEnv(t, restore{})
	w.startPeers()
	time.Sleep(time.Second) // the peers watch for it by then
	n := w.nodes[slices.IndexFunc(w.nodes, func(n *Node) bool { return n.view.plan().Rank > 0 })]
	if err := n.session.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	n.store.AdvanceHistory(1)
	time.Sleep(300 * time.Millisecond)
	if got := n.view.follower.Revision().History(); got != 1 {
		t.Errorf("the view is in history %d", got)
	}
}
