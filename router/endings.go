package router

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/poison"
)

// endings finds out, once a target broke an answer off, whether the target has
// ended. A broken connection alone does not tell: targets that fail part of their
// requests, spoilt answers and orders that end streams look the same, and the list
// loses a target seconds after its end.
type endings struct {
	sender Sender
	fleet  *fleet.Fleet
	table  *poison.Table
	log    logrus.FieldLogger

	mu sync.Mutex
	// asked are the questions under way, by life: all requests that a target was
	// serving break off at the same moment.
	asked map[fleet.Instance]chan struct{}
}

func newEndings(s Sender, f *fleet.Fleet, t *poison.Table, log logrus.FieldLogger) *endings {
	return &endings{sender: s, fleet: f, table: t, log: log, asked: map[fleet.Instance]chan struct{}{}}
}

// Figures of the questions.
const (
	// askMost bounds one question: an answer takes a round trip, milliseconds.
	askMost = 300 * time.Millisecond
	// askAgain is after how long a target that took a connection is asked once more:
	// one that is ending may close its connections before its listener.
	askAgain = 100 * time.Millisecond
)

// ask asks whether a target has ended, once for all requests that ask at the same
// time. What it returns is closed once the first answer is there.
func (e *endings) ask(target fleet.Target) <-chan struct{} {
	life := target.Instance()
	e.mu.Lock()
	defer e.mu.Unlock()
	if answered := e.asked[life]; answered != nil {
		return answered
	}
	answered := make(chan struct{})
	e.asked[life] = answered
	go e.pursue(target, answered)
	return answered
}

func (e *endings) pursue(target fleet.Target, answered chan<- struct{}) {
	found := e.listens(target)
	e.take(target, found)
	close(answered)
	if found == Listening {
		time.Sleep(askAgain)
		found = e.listens(target)
		e.take(target, found)
	}
	e.mu.Lock()
	delete(e.asked, target.Instance())
	e.mu.Unlock()
	e.log.WithFields(logrus.Fields{"event": "target_asked", "target": target.ID, "born": target.Born, "address": target.Address, "presence": found}).Info("it broke an answer off")
}

// take takes what was found of a target. Of one that has ended nobody else has to find
// that out by a request.
func (e *endings) take(target fleet.Target, found ProbeResult) {
	if found != NotListening {
		return
	}
	now := time.Now()
	e.fleet.RecordUnreachable(target.Instance(), now)
	e.table.RecordCrash(target.Instance(), now)
}

func (e *endings) listens(target fleet.Target) ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), askMost)
	defer cancel()
	return e.sender.Probe(ctx, target)
}

// byPeer reports whether an answer was ended by its target or the way there, and not
// by this process's own patience or its client's.
func byPeer(err error) bool {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	var network net.Error
	return !errors.As(err, &network) || !network.Timeout()
}

// brokeOff notes that a request that was sent to a target has no whole answer, and asks
// whether the target has ended where that cut the answer off. A request whose client
// left, or whose time was over, just before may have ended the target all the same.
func (s *session) brokeOff(choice fleet.Choice, err error) {
	leaving := !s.router.fleet.Available(choice.Target.Instance())
	if !leaving {
		s.router.poison.RecordBrokenResponse(s.in.suspicion(), choice.Target.Instance(), s.sentAt, time.Now())
	}
	if !byPeer(err) {
		return
	}
	s.router.log.WithFields(logrus.Fields{
		"event": "broke_off", "request": s.in.ID, "content": s.in.content.String(), "target": choice.Target.ID, "born": choice.Target.Born,
		"leaving": leaving, "events": s.hasEvent,
	}).Info("the target did not end its answer")
	if !leaving {
		// A planned end says nothing of what the target ran.
		s.asked = s.router.endings.ask(choice.Target)
	}
}

// awaitEnding waits until it is known whether the target that broke the last answer off
// has ended: a further send that begins before is one more target at risk.
func (s *session) awaitEnding(ctx context.Context) {
	if s.asked == nil {
		return
	}
	select {
	case <-s.asked:
	case <-ctx.Done():
	}
	s.asked = nil
}
