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

// crashDetector probes targets that broke off a response to find out whether they have
// crashed. A broken connection alone does not prove it: targets that fail some of their
// requests, corrupted responses and load orders that end streams look the same, and the list
// of targets drops a crashed one only seconds later.
type crashDetector struct {
	sender Sender
	fleet  *fleet.Fleet
	table  *poison.Table
	log    logrus.FieldLogger

	mu sync.Mutex
	// probes holds the probes in progress by instance. All requests that a crashed target was
	// serving break off at the same moment and share one probe.
	probes map[fleet.Instance]chan struct{}
}

func newCrashDetector(s Sender, f *fleet.Fleet, t *poison.Table, log logrus.FieldLogger) *crashDetector {
	return &crashDetector{sender: s, fleet: f, table: t, log: log, probes: map[fleet.Instance]chan struct{}{}}
}

const (
	// probeTimeout limits one probe, which normally takes one network round trip (milliseconds).
	probeTimeout = 300 * time.Millisecond
	// reprobeDelay is the time after which a target that accepted a connection is probed once
	// more: a process that is ending may close its connections before its listener.
	reprobeDelay = 100 * time.Millisecond
)

// probe starts a probe of a target, or joins the one in progress. The returned channel is
// closed when the first result is known.
func (d *crashDetector) probe(target fleet.Target) <-chan struct{} {
	instance := target.Instance()
	d.mu.Lock()
	defer d.mu.Unlock()
	if done := d.probes[instance]; done != nil {
		return done
	}
	done := make(chan struct{})
	d.probes[instance] = done
	go d.runProbe(target, done)
	return done
}

func (d *crashDetector) runProbe(target fleet.Target, done chan<- struct{}) {
	result := d.probeOnce(target)
	d.record(target, result)
	close(done)
	if result == Listening {
		time.Sleep(reprobeDelay)
		result = d.probeOnce(target)
		d.record(target, result)
	}
	d.mu.Lock()
	delete(d.probes, target.Instance())
	d.mu.Unlock()
	d.log.WithFields(logrus.Fields{"event": "target_asked", "target": target.ID, "born": target.Born, "address": target.Address, "presence": result}).Info("probed a target that broke off a response")
}

// record records a crash if the target no longer listens, so that no other request has to
// find out by failing.
func (d *crashDetector) record(target fleet.Target, result ProbeResult) {
	if result != NotListening {
		return
	}
	now := time.Now()
	d.fleet.RecordUnreachable(target.Instance(), now)
	d.table.RecordCrash(target.Instance(), now)
}

func (d *crashDetector) probeOnce(target fleet.Target) ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return d.sender.Probe(ctx, target)
}

// causedByPeer reports whether the target or the network ended the response, rather than a
// timeout of this process or its client.
func causedByPeer(err error) bool {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	var netErr net.Error
	return !errors.As(err, &netErr) || !netErr.Timeout()
}

// recordBrokenResponse records that a request got no complete response, even if the client
// disconnected or the deadline passed: the request may have crashed the target all the same.
// If the target or the network broke the response off, it also starts a probe. Neither is
// done for a target that is no longer available for new requests, such as one that shuts
// down.
func (s *session) recordBrokenResponse(choice fleet.Choice, err error) {
	unavailable := !s.router.fleet.Available(choice.Target.Instance())
	if !unavailable {
		s.router.poison.RecordBrokenResponse(s.in.poisonCase(), choice.Target.Instance(), s.sentAt, time.Now(), s.accusedParts()...)
	}
	if !causedByPeer(err) {
		return
	}
	s.router.log.WithFields(logrus.Fields{
		"event": "broke_off", "request": s.in.ID, "content": s.in.content.String(), "target": choice.Target.ID, "born": choice.Target.Born,
		"leaving": unavailable, "events": !s.attemptBegan.IsZero(), "parts": s.in.partsLogValue(),
	}).Info("response of the target broke off")
	if !unavailable {
		// After a planned shutdown, the end of the target says nothing about the request.
		s.probed = s.router.detector.probe(choice.Target)
	}
}

// awaitProbe waits for the first result of the probe of the target that broke off the last
// response. A retry before that would put another target at risk.
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
