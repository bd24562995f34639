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

// crashDetector finds out, once a target broke an answer off, whether the target has
// ended. A broken connection alone does not tell: targets that fail part of their
// requests, spoilt answers and orders that end streams look the same, and the list
// loses a target seconds after its end.
type crashDetector struct {
	sender Sender
	fleet  *fleet.Fleet
	table  *poison.Table
	log    logrus.FieldLogger

	mu sync.Mutex
	// probes are the questions under way, by life: all requests that a target was
	// serving break off at the same moment.
	probes map[fleet.Instance]chan struct{}
}

func newCrashDetector(s Sender, f *fleet.Fleet, t *poison.Table, log logrus.FieldLogger) *crashDetector {
	return &crashDetector{sender: s, fleet: f, table: t, log: log, probes: map[fleet.Instance]chan struct{}{}}
}

// Figures of the questions.
const (
	// probeTimeout bounds one question: an answer takes a round trip, milliseconds.
	probeTimeout = 300 * time.Millisecond
	// reprobeDelay is after how long a target that took a connection is asked once more:
	// one that is ending may close its connections before its listener.
	reprobeDelay = 100 * time.Millisecond
)

// probe asks whether a target has ended, once for all requests that probe at the same
// time. What it returns is closed once the first answer is there.
func (e *crashDetector) probe(target fleet.Target) <-chan struct{} {
	instance := target.Instance()
	e.mu.Lock()
	defer e.mu.Unlock()
	if done := e.probes[instance]; done != nil {
		return done
	}
	done := make(chan struct{})
	e.probes[instance] = done
	go e.runProbe(target, done)
	return done
}

func (e *crashDetector) runProbe(target fleet.Target, done chan<- struct{}) {
	result := e.probeOnce(target)
	e.record(target, result)
	close(done)
	if result == Listening {
		time.Sleep(reprobeDelay)
		result = e.probeOnce(target)
		e.record(target, result)
	}
	e.mu.Lock()
	delete(e.probes, target.Instance())
	e.mu.Unlock()
	e.log.WithFields(logrus.Fields{"event": "target_asked", "target": target.ID, "born": target.Born, "address": target.Address, "presence": result}).Info("it broke an answer off")
}

// record takes what was found of a target. Of one that has ended nobody else has to find
// that out by a request.
func (e *crashDetector) record(target fleet.Target, result ProbeResult) {
	if result != NotListening {
		return
	}
	now := time.Now()
	e.fleet.RecordUnreachable(target.Instance(), now)
	e.table.RecordCrash(target.Instance(), now)
}

func (e *crashDetector) probeOnce(target fleet.Target) ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return e.sender.Probe(ctx, target)
}

// causedByPeer reports whether an answer was ended by its target or the way there, and not
// by this process's own patience or its client's.
func causedByPeer(err error) bool {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	var netErr net.Error
	return !errors.As(err, &netErr) || !netErr.Timeout()
}

// recordBrokenResponse notes that a request that was sent to a target has no whole answer, and asks
// whether the target has ended where that cut the answer off. A request whose client
// left, or whose time was over, just before may have ended the target all the same.
func (s *session) recordBrokenResponse(choice fleet.Choice, err error) {
	leaving := !s.router.fleet.Available(choice.Target.Instance())
	if !leaving {
		s.router.poison.RecordBrokenResponse(s.in.poisonCase(), choice.Target.Instance(), s.sentAt, time.Now())
	}
	if !causedByPeer(err) {
		return
	}
	s.router.log.WithFields(logrus.Fields{
		"event": "broke_off", "request": s.in.ID, "content": s.in.content.String(), "target": choice.Target.ID, "born": choice.Target.Born,
		"leaving": leaving, "events": s.hasLastEventID,
	}).Info("the target did not end its answer")
	if !leaving {
		// A planned end says nothing of what the target ran.
		s.probed = s.router.detector.probe(choice.Target)
	}
}

// awaitProbe waits until it is known whether the target that broke the last answer off
// has ended: a further send that begins before is one more target at risk.
func (s *session) awaitProbe(ctx context.Context) {
	if s.probed == nil {
		return
	}
	select {
	case <-s.probed:
	case <-ctx.Done():
	}
	s.probed = nil
}
