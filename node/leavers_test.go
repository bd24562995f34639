package node

import (
	"testing"
	"time"
)

// stopped begins to stop nodes and waits until none of them is among the members.
func (w *world) stopped(nodes ...*Node) {
	for _, n := range nodes {
		stopped := make(chan struct{})
		go func() { n.Stop(); close(stopped) }()
		w.t.Cleanup(func() { <-stopped })
	}
	for _, n := range nodes {
		w.until("no member is left", func() bool { return n.view.otherCount() == 0 })
	}
}

// All entries are stopped close together. Each goes on to serve for seconds, but as no
// member it neither told the others what it saw nor heard them. A request that ends its
// runners came at one after the other, and each counted for itself: four to six ended.
func TestEntriesThatStopTellEachOtherOfSuspects(t *testing.T) {
	t.Parallel()
	w := newDeadlyWorld(t, 8)
	nodes := []*Node{w.node, w.startNode("n1"), w.startNode("n2")}
	w.stopped(nodes...)
	w.repeat("/match/deadly", 9, nodes...)
	if n := w.crashes(); n > endsMost {
		t.Errorf("%d runners ended under one request", n)
	}
}

// An entry starts while the others that know of a suspect stop. They are no members, so
// it does not tell them that it is there; they see that and have to tell it.
func TestEntriesThatStopTellOneThatStarts(t *testing.T) {
	t.Parallel()
	w := newDeadlyWorld(t, 8)
	w.stopped(w.node)
	w.repeat("/match/deadly", 2, w.node)
	fresh := w.startNode("n1")
	w.until("it knows of two ends", func() bool {
		held := fresh.view.verdicts.Table.BootstrapReports(time.Now())
		return len(held) == 1 && len(held[0].Crashes) == 2
	})
}
