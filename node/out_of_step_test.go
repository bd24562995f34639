package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"acaciakeel/internal/faultproxy"
	"acaciakeel/internal/standin/runner"
)

// outOfStep is an environment with a second node that reaches the store through a proxy.
type outOfStep struct {
	*testEnv
	late  *Node
	proxy *faultproxy.Proxy
}

func newOutOfStep(t *testing.T, served ...string) *outOfStep {
	w := &outOfStep{testEnv: newRestartEnv(t, served...)}
	w.awaitMark(fmt.Sprint(served))
	proxy, err := faultproxy.New(strings.TrimPrefix(w.kv.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	w.proxy, w.storeVia = proxy, proxy.Addr()
	w.late = w.startPeer("n1")
	return w
}

// cutOff cuts the second node off from the store, and from the first node if alone is set.
func (w *outOfStep) cutOff(alone bool) {
	w.proxy.SetRefuse(true)
	w.proxy.Cut()
	if alone {
		_ = w.late.exchange.conn.Close()
	}
}

// beginAtNew has targets of a new version listed and begins streams at the first node until several
// have begun there; it returns the IDs of those, with the version.
func (w *outOfStep) beginAtNew(build string, targets int) (begun []string) {
	w.t.Helper()
	for range targets / 2 {
		w.list(build)
	}
	for i := 0; len(begun) < streamCount/2; i++ {
		if i == 40*streamCount {
			w.t.Fatalf("no streams begin at %s", build)
		}
		id := fmt.Sprintf("begun-%d", i)
		w.beginAndAbandon(w.node, streamRequest(id, i))
		for _, s := range w.executed(w.runners) {
			if s.ID == id && s.Build == build {
				begun = append(begun, id)
			}
		}
	}
	return begun
}

// resumeAtLate resumes streams at the second node and fails for those that get an answer other than
// their rest or a refusal.
func (w *outOfStep) resumeAtLate(begun []string) {
	w.t.Helper()
	for i, id := range begun {
		r := streamRequest(fmt.Sprintf("late-%d", i), i)
		r.Resumes, r.LastEventID = id, "2"
		a := w.exchange(w.late, r)
		rest := a.status == http.StatusOK && a.body == restOfStream()
		if !rest && a.status != http.StatusServiceUnavailable {
			w.t.Errorf("%s: status %d, error %v: %s", id, a.status, a.err, a.body)
		}
	}
	for _, violation := range runner.JudgeContinuations(w.runners).OtherBuild {
		w.t.Error(violation)
	}
}

// Guards against streams of a new software version that go on at the former one at a node which was
// cut off from the store and the others as the new version's targets joined.
func TestCutOffNodeDoesNotJoinVersions(t *testing.T) {
	for _, targets := range []int{2, 4, 8} {
		t.Run(fmt.Sprint(targets, " new targets"), func(t *testing.T) {
			w := newOutOfStep(t, "v1")
			w.cutOff(true)
			w.resumeAtLate(w.beginAtNew("v2", targets))
		})
	}
}

// Guards against the same at a node that is back in touch with the store and whose view is not yet.
func TestNodeThatIsBackDoesNotJoinVersions(t *testing.T) {
	w := newOutOfStep(t, "v1")
	w.cutOff(true)
	begun := w.beginAtNew("v2", 4)
	w.proxy.SetRefuse(false)
	w.resumeAtLate(begun)
}

// Guards against the same where the node that is asked is as far behind: a group whose watcher is out
// of step.
func TestNodesThatAreBehindTogetherDoNotJoinVersions(t *testing.T) {
	w := newOutOfStep(t, "v1")
	w.startPeer("n2")
	w.until("all nodes are peers", func() bool { return len(w.late.view.plan().Peers) == 2 })
	w.cutOff(false)
	_ = w.node.exchange.conn.Close()
	w.resumeAtLate(w.beginAtNew("v2", 4))
}

// setStoreFaults sets what goes wrong with the store, in JSON.
func (w *testEnv) setStoreFaults(faults string) {
	w.t.Helper()
	resp, err := http.Post(w.kv.URL+"/faults", "application/json", strings.NewReader(faults))
	if err != nil {
		w.t.Fatal(err)
	}
	resp.Body.Close()
}

// Guards against streams that begin at a version which the store does not name yet: nodes that look
// there take them for streams of the only version named.
func TestStreamsWaitForTheMark(t *testing.T) {
	w := newRestartEnv(t, "v1")
	w.awaitMark("[v1]")
	w.setStoreFaults(`{"read_only":true}`)
	w.unlist("v1")
	w.list("v2")
	w.until("the new version alone is listed", func() bool {
		targets := w.node.view.fleet.BuildTargets("lm")
		return len(targets) == 1 && targets["v2"] > 0
	})
	for i := range streamCount {
		if a := w.exchange(w.node, streamRequest(fmt.Sprintf("early-%d", i), i)); a.status != http.StatusServiceUnavailable {
			t.Errorf("stream %d began at a version that the store does not name: status %d", i, a.status)
		}
	}
	w.setStoreFaults(`{}`)
	i := 0
	w.until("streams begin", func() bool {
		i++
		return w.exchange(w.node, streamRequest(fmt.Sprintf("later-%d", i), i)).status == http.StatusOK
	})
}

// Guards against streams that go on at a target which has restarted with other software, at a node that
// was cut off meanwhile and knows of one version alone.
func TestCutOffNodeDoesNotContinueAtRestartedSoftware(t *testing.T) {
	w := newOutOfStep(t, "v1")
	var begun []string
	for i := range streamCount / 2 {
		begun = append(begun, fmt.Sprintf("begun-%d", i))
		w.beginAndAbandon(w.node, streamRequest(begun[i], i))
	}
	w.until("the other node knows the streams", func() bool { return w.late.exchange.origins.table.Len() == len(begun) })
	w.cutOff(true)
	for _, r := range w.runners {
		r.Upgrade("v2")
	}
	w.resumeAtLate(begun)
}
