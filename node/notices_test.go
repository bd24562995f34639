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

// loadSpec is the load that clients put on a node: each sends its next request after a pause.
type loadSpec struct {
	node    *Node
	clients int
	pause   time.Duration
}

// generateLoad has clients send for a while. A request's id begins with its node's name.
func (w *testEnv) generateLoad(path string, length time.Duration, all ...loadSpec) {
	var done sync.WaitGroup
	end := time.Now().Add(length)
	for _, p := range all {
		for c := range p.clients {
			done.Add(1)
			go func() {
				defer done.Done()
				for i := 0; time.Now().Before(end); i++ {
					id := fmt.Sprintf("%s,%d,%d", p.node.settings.Name, c, i)
					header := promptHeaders()
					header["Prefix-Hash"] = fmt.Sprintf("aa:400,b%d:300,c%d-%d:200", i%7, c, i)
					w.sendTo(p.node, "POST", path, "", id, header)
					time.Sleep(p.pause)
				}
			}()
		}
	}
	done.Wait()
}

// nodeOfRequest returns the node that a generated request was sent to.
func nodeOfRequest(id string, _ time.Time) string {
	node, _, _ := strings.Cut(id, ",")
	return node
}

// stableWindow is how long after it was named a target's limit is binding.
const stableWindow = 3 * time.Second

// Guards against nodes that each keep a target's limit but exceed it together.
func TestNodesTogetherKeepATargetsLimit(t *testing.T) {
	w := newEnv(t)
	all := []loadSpec{{w.node, 2, 50 * time.Millisecond}, {w.startNode("n1"), 2, 50 * time.Millisecond}, {w.startNode("n2"), 2, 50 * time.Millisecond}}
	limited := w.runners[0]
	limited.NameLimit("1.4", 1.4)
	w.generateLoad("/draft/x", stableWindow+6*time.Second, all...)
	for _, violation := range limited.OverLimit(nodeOfRequest, stableWindow) {
		t.Fatal(violation)
	}
}

// Guards against requests that are refused while a target with a limit could take them, and
// against refusals without a Retry-After.
func TestServiceIsUsedUpToItsLimit(t *testing.T) {
	w := newEnv(t)
	for _, r := range w.runners {
		r.NameLimit("1", 1)
	}
	for range 3 {
		w.send("POST", "/draft/x", "", promptHeaders())
	}
	refused := response{}
	w.until("a request is refused", func() bool {
		refused = w.send("POST", "/draft/x", "", promptHeaders())
		return refused.status != http.StatusOK
	})
	after, _ := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	if refused.status != http.StatusTooManyRequests || !strings.Contains(refused.body, "targets_limited") || after <= 0 {
		t.Errorf("refused with %d, Retry-After %v s: %s", refused.status, after, refused.body)
	}
	w.until("a later request is served", func() bool { return w.send("POST", "/draft/x", "", promptHeaders()).status == http.StatusOK })
}

// Guards against a limit that stays in force after the target has stopped naming it.
func TestTargetLimitEndsWhenNoLongerNamed(t *testing.T) {
	w := newEnv(t)
	other := w.startNode("n1")
	sent := 0
	known := func(n *Node, named bool) func() bool {
		return func() bool {
			sent++
			header := promptHeaders()
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
	w.until("the node knows the limit", known(w.node, true))
	w.until("the other node knows of it", known(other, true))
	name("", 0)
	w.until("the node knows that the limit ended", known(w.node, false))
	w.until("the other node knows of it", known(other, false))
}

// drainPeriod is how long after a target reported that it leaves a node may still send to it.
const drainPeriod = 2 * time.Second

// Guards against requests to a target that reported in an answer that it leaves while its
// entry says ready, also after the entry is written again.
func TestTargetReportingThatItLeavesGetsNothing(t *testing.T) {
	w := newEnv(t)
	leaving := w.runners[0]
	relist := func() {
		entry := leaving.Entry("ready")
		for range 5 {
			time.Sleep(drainPeriod / 2)
			w.store.Remove(entry.Key)
			time.Sleep(100 * time.Millisecond)
			w.store.Set(entry.Key, entry.Value)
		}
	}
	leaving.Leave()
	go relist()
	w.generateLoad("/draft/x", drainPeriod+3*time.Second, loadSpec{w.node, 3, 50 * time.Millisecond}, loadSpec{w.startNode("n1"), 3, 50 * time.Millisecond})
	for _, violation := range leaving.AfterLeaving(nodeOfRequest, drainPeriod) {
		t.Fatal(violation)
	}
}

// Guards against requests to a target within the back-off it asked for when it refused others:
// for runners and plain services, and when all of them back off.
func TestTargetGetsNothingDuringRetryAfter(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		shed func(w *testEnv) []*runner.Runner
	}{
		"one of two runners":       {"/draft/x", func(w *testEnv) []*runner.Runner { return w.runners[:1] }},
		"one of two plain targets": {"/stock/x", func(w *testEnv) []*runner.Runner { return w.plainTargets[:1] }},
		"all runners":              {"/draft/x", func(w *testEnv) []*runner.Runner { return w.runners }},
	} {
		t.Run(name, func(t *testing.T) {
			w := newEnv(t)
			backingOff := c.shed(w)
			for _, r := range backingOff {
				r.ShedFor(3 * time.Second)
			}
			w.generateLoad(c.path, 7*time.Second, loadSpec{w.node, 4, 30 * time.Millisecond}, loadSpec{w.startNode("n1"), 2, 30 * time.Millisecond})
			for _, r := range backingOff {
				for _, violation := range r.WithinRest(nodeOfRequest) {
					t.Fatal(violation)
				}
			}
		})
	}
}
