package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/door"
	"acaciakeel/router"
)

// Timing of a planned stop.
const (
	// stopNotice is how long the node keeps serving normally after it reports that it is not
	// ready: the platform probes once a second and acts on the second failed probe.
	stopNotice = 2600 * time.Millisecond
	// stopMargin is the time left before the platform kills the process.
	stopMargin = 300 * time.Millisecond
	// finalAnswerTime is reserved before that for answering requests that are given up, and
	// answerTime for each of them where that is more: so long takes an answer on a VM with a
	// seventh of a core.
	finalAnswerTime = 200 * time.Millisecond
	answerTime      = 2 * time.Millisecond
	// lastPart is the divisor of the grace period that gives its last part. Only in it are requests
	// given up before finalAnswerTime: the platform does not expect them to end in it.
	lastPart = 6
)

// stopDeadlines returns the deadlines of a stop that began at the given time.
func (n *Node) stopDeadlines(begun time.Time) door.ShutdownOptions {
	grace := n.settings.Bounds.Grace()
	end := begun.Add(grace - stopMargin)
	return door.ShutdownOptions{
		AnswerDeadline:    end.Add(-finalAnswerTime),
		Interrupt:         func() { n.cancelRequests(router.ErrShutdown) },
		AnswerTime:        answerTime,
		EarliestInterrupt: begun.Add(grace - grace/lastPart),
		Deadline:          end,
	}
}

// Stop shuts the node down in order, within the platform's grace period.
func (n *Node) Stop() {
	defer n.cancel()
	begun := time.Now()
	e := n.stopDeadlines(begun)
	n.router.SetShutdown(router.Shutdown{NoticeEnd: begun.Add(stopNotice), Deadline: e.AnswerDeadline})
	notice := time.NewTimer(min(stopNotice, time.Until(e.AnswerDeadline)))
	defer notice.Stop()
	close(n.stopping)
	n.frontend.Drain()
	n.log.WithField("event", "stopping").Info("planned stop started")
	go n.withdraw(e.Deadline)
	released := make(chan struct{})
	release := sync.OnceFunc(func() { n.releaseLease(e.Deadline); close(released) })
	releaseTimer := time.AfterFunc(time.Until(e.AnswerDeadline), release)
	defer releaseTimer.Stop()
	<-notice.C
	if n.servers.front.Shutdown(e) {
		n.log.WithField("event", "stopped").Info("all requests finished")
	} else {
		n.log.WithField("event", "stop_cut").Warn("the grace period ended before all requests had finished")
	}
	release()
	<-released
	for _, d := range []*door.Server{n.servers.ready, n.servers.metrics} {
		_ = d.Close()
	}
}

// withdraw removes the node from the members. Leadership passes to another node at once if one
// stays. If all nodes stop together, this one keeps leading until it ends: otherwise a rollout
// of new weights waits until the first node has started again, seven seconds with three nodes
// stopped half a second apart.
func (n *Node) withdraw(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	n.view.controller.DisableTruncation()
	n.logReleaseFailure("the membership", n.deregister(ctx))
	if n.view.otherCount() > 0 && n.settleOrders(ctx, n.view.controller.SettleOrders) {
		n.logReleaseFailure("the seat", n.view.leaderLock.Release(ctx))
	}
}

// settleOrders ends this node's load orders and waits until none can arrive at its runner any
// more: one that arrives after the next leader's would bear a lower fencing token. It reports
// whether the lock may be given up.
func (n *Node) settleOrders(ctx context.Context, settle func(context.Context) error) bool {
	start := time.Now()
	err := settle(ctx)
	n.log.WithError(err).WithFields(logrus.Fields{"event": "orders_settled", "settled": err == nil, "waited_ms": time.Since(start).Milliseconds()}).Info("load orders ended")
	return err == nil
}

// releaseLease ends the rollout and the other background work, then the lease. A leader whose
// process merely exited would hold the lock until the lease expires; one with orders on their way
// does so.
func (n *Node) releaseLease(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	settled := n.settleOrders(ctx, n.view.controller.EndOrders)
	n.cancelDuties()
	if !settled {
		return
	}
	n.logReleaseFailure("the lease", n.session.Close(ctx))
}

func (n *Node) logReleaseFailure(what string, err error) {
	if err != nil {
		n.log.WithError(err).WithFields(logrus.Fields{"event": "give_up_failed", "what": what}).Warn("could not release; the other nodes wait until the lease expires")
	}
}

// isCandidate reports whether the node tries to become leader: a stopping node does so only if
// no other node serves.
func (n *Node) isCandidate() bool {
	select {
	case <-n.stopping:
		return n.view.otherCount() == 0
	default:
		return true
	}
}
