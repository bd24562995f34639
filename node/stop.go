package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/door"
	"acaciakeel/router"
)

// Figures of a planned stop.
const (
	// stopNotice is how long the node serves everything after it has begun to say
	// that it is not ready: the platform asks once a second and believes the second
	// answer.
	stopNotice = 2600 * time.Millisecond
	// stopMargin is kept from the moment at which the platform kills the process.
	stopMargin = 300 * time.Millisecond
	// finalAnswerTime is kept before that for the answers to requests that are given
	// up: a small machine writes some hundred in this time.
	finalAnswerTime = 200 * time.Millisecond
)

// stopDeadlines returns the times of a stop that began at a moment, after the notice.
func (n *Node) stopDeadlines(begun time.Time) door.Ending {
	end := begun.Add(n.settings.Bounds.Grace() - stopMargin)
	return door.Ending{
		Answers:   end.Add(-finalAnswerTime),
		Interrupt: func() { n.cancelRequests(router.ErrEnding) },
		End:       end,
	}
}

// Stop ends the node in order, within the platform's grace.
func (n *Node) Stop() {
	defer n.cancel()
	e := n.stopDeadlines(time.Now())
	notice := time.NewTimer(min(stopNotice, time.Until(e.Answers)))
	defer notice.Stop()
	close(n.stopping)
	n.front.Leave()
	n.log.WithField("event", "stopping").Info("planned stop")
	go n.withdraw(e.End)
	handedOver := make(chan struct{})
	handOver := sync.OnceFunc(func() { n.releaseLease(e.End); close(handedOver) })
	latest := time.AfterFunc(time.Until(e.Answers), handOver)
	defer latest.Stop()
	<-notice.C
	n.router.Leave(e.Answers)
	if n.listeners.front.End(e) {
		n.log.WithField("event", "stopped").Info("all requests ended")
	} else {
		n.log.WithField("event", "stop_cut").Warn("the grace ended before all requests did")
	}
	handOver()
	<-handedOver
	for _, d := range []*door.Door{n.listeners.ready, n.listeners.metrics} {
		_ = d.Close()
	}
}

// withdraw takes the node out of those that serve. The orders pass to another
// one at once, if there is one that stays. Where all stop together, the node goes
// on to give them until its end: otherwise new weights wait until the first has
// started again, seven seconds with three entries stopped half a second apart.
func (n *Node) withdraw(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	n.view.controller.DisableTruncation()
	n.logReleaseFailure("the membership", n.deregister(ctx))
	if n.view.otherCount() > 0 {
		n.logReleaseFailure("the seat", n.view.leaderLock.Release(ctx))
	}
}

// deregister removes the node's entry among the members.
func (n *Node) deregister(ctx context.Context) error {
	n.membership.Lock()
	defer n.membership.Unlock()
	n.membership.left = true
	if n.membership.revision == 0 {
		return nil
	}
	_, err := n.store.Delete(ctx, n.view.self, n.membership.revision)
	return err
}

// releaseLease ends the node's orders and then its lease. A holder that ended with
// its process alone would keep the seat until the lease lapses.
func (n *Node) releaseLease(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	n.cancelDuties()
	n.logReleaseFailure("the lease", n.session.Close(ctx))
}

func (n *Node) logReleaseFailure(what string, err error) {
	if err != nil {
		n.log.WithError(err).WithFields(logrus.Fields{"event": "give_up_failed", "what": what}).Warn("the others wait until the lease lapses")
	}
}

// isCandidate reports whether the node is to seek the seat: one that stops only does if
// no other one stays.
func (n *Node) isCandidate() bool {
	select {
	case <-n.stopping:
		return n.view.otherCount() == 0
	default:
		return true
	}
}
