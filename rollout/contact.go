package rollout

import (
	"time"

	"acaciakeel/fleet"
)

// Timing of requests for the report of a runner.
const (
	// reportTimeout bounds a request for a report, which normally takes a few
	// milliseconds. A runner that takes longer frees its slot. The cost of an error is one
	// retry after minContactBackoff.
	reportTimeout = 300 * time.Millisecond
	// minContactBackoff and maxContactBackoff bound the time between two requests to a
	// runner that does not respond. With reportTimeout, the upper bound gives a recovered
	// runner its order within about a second.
	minContactBackoff = 150 * time.Millisecond
	maxContactBackoff = 600 * time.Millisecond
	// maxContactChecks is the number of requests in progress to runners that do not
	// respond. It limits them to about a hundred per second.
	maxContactChecks = 32
	// contactValidity is for how long an answer to this process outweighs the reports of
	// the other processes that the runner does not respond. These take about as long to
	// follow a change.
	contactValidity = time.Second
	// missedPolls is the number of consecutive polls of a load without an answer after
	// which the runner frees its slot. One may be due to a pause of the runner or of this
	// process, and an order sent in its place would exceed the concurrency limit.
	missedPolls = 2
)

// contacts tracks which runners respond to this process. Runners that do not respond take
// no slot: they are asked beside the orders, with growing backoff. It is not safe for
// concurrent use.
type contacts struct {
	byRunner map[string]*contact
	checking int
}

// contact is whether one instance of a runner responds.
type contact struct {
	instance fleet.Instance
	// failures counts the requests since the last answer, failingSince is when the first
	// of them failed.
	failures     int
	failingSince time.Time
	answeredAt   time.Time
	nextCheck    time.Time
	checking     bool
}

func newContacts() contacts {
	return contacts{byRunner: map[string]*contact{}}
}

func (c *contacts) of(l fleet.Instance) *contact {
	k := c.byRunner[l.ID]
	if k == nil || !k.instance.Matches(l) {
		k = &contact{instance: l}
		c.byRunner[l.ID] = k
	}
	return k
}

// recordAnswer records that a runner responded and returns for how long it had not.
func (c *contacts) recordAnswer(l fleet.Instance, now time.Time) (failingFor time.Duration, recovered bool) {
	k := c.of(l)
	if k.failures > 0 {
		failingFor, recovered = now.Sub(k.failingSince), true
	}
	k.failures, k.answeredAt = 0, now
	return failingFor, recovered
}

// recordFailure records that a runner did not respond and reports whether it did before.
func (c *contacts) recordFailure(l fleet.Instance, now time.Time) (first bool) {
	k := c.of(l)
	if k.failures == 0 {
		k.failingSince = now
	}
	backoff := min(minContactBackoff<<min(k.failures, 8), maxContactBackoff)
	k.failures++
	k.nextCheck = now.Add(backoff)
	return k.failures == 1
}

// unresponsive reports whether a runner does not respond: it left a request of this
// process unanswered, or the fleet considers it unresponsive and no recent answer
// disproves that.
func (c *contacts) unresponsive(l fleet.Instance, byFleet bool, now time.Time) bool {
	k := c.byRunner[l.ID]
	if k == nil || !k.instance.Matches(l) {
		return byFleet
	}
	return k.failures > 0 || (byFleet && now.Sub(k.answeredAt) >= contactValidity)
}

// startCheck reports whether an unresponsive runner is due to be asked, and counts the
// check in.
func (c *contacts) startCheck(l fleet.Instance, now time.Time) bool {
	k := c.of(l)
	if k.checking || now.Before(k.nextCheck) || c.checking >= maxContactChecks {
		return false
	}
	k.checking = true
	c.checking++
	return true
}

func (c *contacts) endCheck(l fleet.Instance) {
	c.checking--
	if k := c.byRunner[l.ID]; k != nil && k.instance.Matches(l) {
		k.checking = false
	}
}

// prune removes the runners for which keep returns false.
func (c *contacts) prune(keep func(fleet.Instance) bool) {
	for id, k := range c.byRunner {
		if !k.checking && !keep(k.instance) {
			delete(c.byRunner, id)
		}
	}
}
