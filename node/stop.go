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
	// lastAnswers is kept before that for the answers to requests that are given
	// up: a small machine writes some hundred in this time.
	lastAnswers = 200 * time.Millisecond
)

// ending returns the times of a stop that began at a moment, after the notice.
func (n *Node) ending(begun time.Time) door.ShutdownOptions {
	end := begun.Add(n.settings.Bounds.Grace() - stopMargin)
	return door.ShutdownOptions{
		AnswerDeadline: end.Add(-lastAnswers),
		Interrupt:      func() { n.interrupt(router.ErrShutdown) },
		Deadline:       end,
	}
}

// Stop ends the node in order, within the platform's grace.
func (n *Node) Stop() {
	defer n.cancel()
	e := n.ending(time.Now())
	notice := time.NewTimer(min(stopNotice, time.Until(e.AnswerDeadline)))
	defer notice.Stop()
	close(n.stopping)
	n.front.Drain()
	n.log.WithField("event", "stopping").Info("planned stop")
	go n.leaveOthers(e.Deadline)
	handedOver := make(chan struct{})
	handOver := sync.OnceFunc(func() { n.handOver(e.Deadline); close(handedOver) })
	latest := time.AfterFunc(time.Until(e.AnswerDeadline), handOver)
	defer latest.Stop()
	<-notice.C
	n.router.SetShutdownDeadline(e.AnswerDeadline)
	if n.doors.front.Shutdown(e) {
		n.log.WithField("event", "stopped").Info("all requests ended")
	} else {
		n.log.WithField("event", "stop_cut").Warn("the grace ended before all requests did")
	}
	handOver()
	<-handedOver
	for _, d := range []*door.Server{n.doors.ready, n.doors.metrics} {
		_ = d.Close()
	}
}

// leaveOthers takes the node out of those that serve. The orders pass to another
// one at once, if there is one that stays. Where all stop together, the node goes
// on to give them until its end: otherwise new weights wait until the first has
// started again, seven seconds with three entries stopped half a second apart.
func (n *Node) leaveOthers(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	n.view.holder.DisableTruncation()
	n.tell("the membership", n.leaveMembers(ctx))
	if n.view.others() > 0 {
		n.tell("the seat", n.view.seat.Release(ctx))
	}
}

// leaveMembers removes the node's entry among the members.
func (n *Node) leaveMembers(ctx context.Context) error {
	n.enrolled.Lock()
	defer n.enrolled.Unlock()
	n.enrolled.left = true
	if n.enrolled.revision == 0 {
		return nil
	}
	_, err := n.store.Delete(ctx, n.view.self, n.enrolled.revision)
	return err
}

// handOver ends the node's orders and then its lease. A holder that ended with
// its process alone would keep the seat until the lease lapses.
func (n *Node) handOver(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	n.endDuties()
	n.tell("the lease", n.session.Close(ctx))
}

func (n *Node) tell(what string, err error) {
	if err != nil {
		n.log.WithError(err).WithFields(logrus.Fields{"event": "give_up_failed", "what": what}).Warn("the others wait until the lease lapses")
	}
}

// seeks reports whether the node is to seek the seat: one that stops only does if
// no other one stays.
func (n *Node) seeks() bool {
	select {
	case <-n.stopping:
		return n.view.others() == 0
	default:
		return true
	}
}
