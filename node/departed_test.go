package node

import (
	"testing"
	"time"
)

// stopAll begins to stop nodes and waits until none of them is a member.
func (w *testEnv) stopAll(nodes ...*Node) {
	for _, n := range nodes {
		stopped := make(chan struct{})
		go func() { n.Stop(); close(stopped) }()
		w.t.Cleanup(func() { <-stopped })
	}
	for _, n := range nodes {
		w.until("no member is left", func() bool { return n.view.otherCount() == 0 })
	}
}

// Guards against nodes that stop together and, no longer members, share no crash reports: each
// counted for itself, and four to six runners crashed under one request.
func TestStoppingNodesShareSuspects(t *testing.T) {
	t.Parallel()
	w := newCrashEnv(t, 8)
	nodes := []*Node{w.node, w.startNode("n1"), w.startNode("n2")}
	w.stopAll(nodes...)
	w.repeat("/match/deadly", 9, nodes...)
	if n := w.crashes(); n > maxCrashes {
		t.Errorf("%d runners crashed under one request", n)
	}
}

// Guards against a starting node that gets no crash reports because the nodes that hold them
// are stopping and so are not its peers.
func TestStoppingNodesSendSuspectsToNewNode(t *testing.T) {
	t.Parallel()
	w := newCrashEnv(t, 8)
	w.stopAll(w.node)
	w.repeat("/match/deadly", 2, w.node)
	fresh := w.startNode("n1")
	w.until("it knows of two crashes", func() bool {
		held := fresh.view.verdicts.Table.BootstrapReports(time.Now())
		return len(held) == 1 && len(held[0].Crashes) == 2
	})
}
