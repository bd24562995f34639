package node

import (
	"context"
	"time"

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
func (n *Node) ending(begun time.Time) door.Ending {
	end := begun.Add(n.settings.Bounds.Grace() - stopMargin)
	return door.Ending{
		Answers:   end.Add(-lastAnswers),
		Interrupt: func() { n.interrupt(router.ErrEnding) },
		End:       end,
	}
}

// Stop ends the node in order, within the platform's grace.
func (n *Node) Stop() {
	defer n.cancel()
	e := n.ending(time.Now())
	notice := time.NewTimer(min(stopNotice, time.Until(e.Answers)))
	defer notice.Stop()
	close(n.stopping)
	n.front.Leave()
	// A node that stops serves on for seconds. Were it to take a lease or the
	// seat again meanwhile, its orders would stand still until that lapses.
	n.endDuties()
	n.log.WithField("event", "stopping").Info("planned stop")
	go n.endLease(e.End)
	<-notice.C
	n.router.Leave(e.Answers)
	if n.doors.front.End(e) {
		n.log.WithField("event", "stopped").Info("all requests ended")
	} else {
		n.log.WithField("event", "stop_cut").Warn("the grace ended before all requests did")
	}
	for _, d := range []*door.Door{n.doors.ready, n.doors.metrics} {
		_ = d.Close()
	}
}

func (n *Node) endLease(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := n.session.End(ctx); err != nil {
		n.log.WithError(err).WithField("event", "lease_end_failed").Warn("the others wait for the lease to lapse")
	}
}
