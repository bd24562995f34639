package node

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

// pressed is how a node's clients press it: each sends its next request after a pause.
type pressed struct {
	node    *Node
	clients int
	pause   time.Duration
}

// press has clients send for a while. A request's id begins with its node's name.
func (w *world) press(path string, length time.Duration, all ...pressed) {
	var done sync.WaitGroup
	end := time.Now().Add(length)
	for _, p := range all {
		for c := range p.clients {
			done.Add(1)
			go func() {
				defer done.Done()
				for i := 0; time.Now().Before(end); i++ {
					id := fmt.Sprintf("%s,%d,%d", p.node.settings.Name, c, i)
					header := prompt()
					header["Prefix-Hash"] = fmt.Sprintf("aa:400,b%d:300,c%d-%d:200", i%7, c, i)
					w.sendTo(p.node, "POST", path, "", id, header)
					time.Sleep(p.pause)
				}
			}()
		}
	}
	done.Wait()
}

// senderOf returns the node that a pressed request went to.
func senderOf(id string, _ time.Time) string {
	node, _, _ := strings.Cut(id, ",")
	return node
}

// stableWindow is how long after it was named a target's limit binds.
const stableWindow = 3 * time.Second

// Guards against a target that gets more than the limit that it named from the entries
// together, each of which was told.
func TestEntriesTogetherKeepATargetsLimit(t *testing.T) {
	w := newWorld(t)
	all := []pressed{{w.node, 2, 50 * time.Millisecond}, {w.startNode("n1"), 2, 50 * time.Millisecond}, {w.startNode("n2"), 2, 50 * time.Millisecond}}
	limited := w.runners[0]
	limited.NameLimit("1.4", 1.4)
	w.press("/draft/x", stableWindow+6*time.Second, all...)
	for _, broken := range limited.OverLimit(senderOf, stableWindow) {
		t.Fatal(broken)
	}
}

// Guards against a service that is refused though its targets would take some, and
// against refusals without the time to come back: all targets name a limit.
func TestAServiceAtItsLimitIsGivenIt(t *testing.T) {
	w := newWorld(t)
	for _, r := range w.runners {
		r.NameLimit("1", 1)
	}
	for range 3 {
		w.send("POST", "/draft/x", "", prompt())
	}
	refused := answer{}
	w.until("a request is refused", func() bool {
		refused = w.send("POST", "/draft/x", "", prompt())
		return refused.status != http.StatusOK
	})
	after, _ := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	if refused.status != http.StatusTooManyRequests || !strings.Contains(refused.body, "targets_limited") || after <= 0 {
		t.Errorf("refused with %d, come back after %v s: %s", refused.status, after, refused.body)
	}
	w.until("a later request is served", func() bool { return w.send("POST", "/draft/x", "", prompt()).status == http.StatusOK })
}

// Guards against a target that is kept limited though it says so no longer.
func TestALimitEndsWithTheWord(t *testing.T) {
	w := newWorld(t)
	other := w.startNode("n1")
	sent := 0
	known := func(n *Node, named bool) func() bool {
		return func() bool {
			sent++
			header := prompt()
			header["Prefix-Hash"] = fmt.Sprintf("a%d:400,b%d:300,c%d:200", sent, sent, sent)
			w.send("POST", "/draft/x", "", header)
			for _, r := range n.view.fleet.Targets("lm") {
				if n.view.fleet.Limit(r.Instance()).Declared {
					return named
				}
			}
			return !named
		}
	}
	name := func(value string, rate float64) {
		for _, r := range w.runners {
			r.NameLimit(value, rate)
		}
	}
	name("2", 2)
	w.until("the entry knows the limit", known(w.node, true))
	w.until("the other one has heard of it", known(other, true))
	name("", 0)
	w.until("the entry knows that it is over", known(w.node, false))
	w.until("the other one has heard of it", known(other, false))
}

// drain is how long after it was told so an entry may go on sending to a target that leaves.
const drain = 2 * time.Second

// Guards against requests to a target that said in an answer that it leaves while the
// list calls it ready, also once it is listed anew.
func TestATargetThatSaysItLeavesGetsNothing(t *testing.T) {
	w := newWorld(t)
	leaves := w.runners[0]
	relist := func() {
		entry := leaves.Entry("ready")
		for range 5 {
			time.Sleep(drain / 2)
			w.store.Remove(entry.Key)
			time.Sleep(100 * time.Millisecond)
			w.store.Set(entry.Key, entry.Value)
		}
	}
	leaves.Leave()
	go relist()
	w.press("/draft/x", drain+3*time.Second, pressed{w.node, 3, 50 * time.Millisecond}, pressed{w.startNode("n1"), 3, 50 * time.Millisecond})
	for _, broken := range leaves.AfterLeaving(senderOf, drain) {
		t.Fatal(broken)
	}
}

// Guards against requests to a target within the rest that it asked for, as it turned
// others away: of runners and of plain services, and where all of them rest.
func TestATargetIsLeftAloneForTheRestItAsksFor(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		shed func(w *world) []*runner.Runner
	}{
		"one of two runners":       {"/draft/x", func(w *world) []*runner.Runner { return w.runners[:1] }},
		"one of two plain targets": {"/stock/x", func(w *world) []*runner.Runner { return w.desks[:1] }},
		"all runners":              {"/draft/x", func(w *world) []*runner.Runner { return w.runners }},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			resting := c.shed(w)
			for _, r := range resting {
				r.ShedFor(3 * time.Second)
			}
			w.press(c.path, 7*time.Second, pressed{w.node, 4, 30 * time.Millisecond}, pressed{w.startNode("n1"), 2, 30 * time.Millisecond})
			for _, r := range resting {
				for _, broken := range r.WithinRest(senderOf) {
					t.Fatal(broken)
				}
			}
		})
	}
}
