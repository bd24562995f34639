package router

import (
	"math/rand/v2"
	"time"

	"acaciakeel/fleet"
	"acaciakeel/policy"
	"acaciakeel/refusal"
)

// Figures of who is refused.
const (
	// overloadFactor is how many times its objective a request may be expected to
	// wait before its prompt is read. Beyond it, it would only make those behind it
	// late too, and its runners read prompts whose clients have left. What it takes
	// to read itself does not count: it would shut the largest out.
	overloadFactor = 0.5
	// lightFactor is the same for those that take next to nothing to read.
	lightFactor = 2
)

// waitLimit returns how long a request may have to wait that takes its runner
// reading to begin: one that takes little of its objective makes the others wait
// for next to nothing, and late it is still worth more than the time it takes.
func waitLimit(objective, reading time.Duration) time.Duration {
	share := overloadFactor
	if reading > 0 {
		share = min(lightFactor, max(overloadFactor, overloadFactor*fleet.LightPrefillShare*objective.Seconds()/reading.Seconds()))
	}
	return time.Duration(share * float64(objective))
}

// overloaded refuses a request whose first token is expected too late, at once
// and with the time until the backlog has shrunk.
func (s *session) overloaded(choice fleet.Choice) *refusal.Error {
	reading := choice.PrefillTime
	if s.router.fleet.Disabled(policy.LightWaitAllowance) {
		reading = 0
	}
	limit := waitLimit(s.in.route.Objective, reading)
	if s.ran > 0 || s.in.Model == "" || limit <= 0 || !choice.Reliable || s.router.fleet.Disabled(policy.WaitRefusal) || choice.Wait <= limit {
		return nil
	}
	over := choice.Wait - limit
	return refusal.New(refusal.QueueFull, "come back after the time in Retry-After",
		"reading is expected to begin in %v, over %v", choice.Wait.Round(time.Millisecond), limit).WithRetryAfter(over + minReturn + rand.N(minReturn))
}

// minReturn is the least time after which a refused client is asked back; twice
// that spreads those refused together.
const minReturn = 200 * time.Millisecond

func (s *session) noTarget() *refusal.Error {
	if s.ran > 0 {
		out := refusal.New(refusal.OutcomeUnknown, "look the result up at the service; each attempt of a client has an id of its own here",
			"no other target may be asked after one that may have run the request")
		out.Outcome = refusal.Unknown
		return out
	}
	if wait, ok := s.router.fleet.RetryAfter(s.query(), time.Now()); ok {
		return s.heldBack(wait)
	}
	return refusal.New(refusal.NoTarget, "come back after the time in Retry-After",
		"none of the targets of service %s can take the request", s.in.service.Name).WithRetryAfter(retryAfter)
}

// heldBack refuses a request whose targets want no more for now.
func (s *session) heldBack(wait fleet.RetryDelay) *refusal.Error {
	kind, why := refusal.TargetsLimited, "get as many requests as they take"
	if wait.Backoff {
		kind, why = refusal.TargetsBackingOff, "asked for rest"
	}
	return refusal.New(kind, "come back after the time in Retry-After",
		"the targets of service %s that could take the request %s", s.in.service.Name, why).WithRetryAfter(wait.For + minReturn + rand.N(minReturn))
}
