package router

import (
	"math/rand/v2"
	"time"

	"acaciakeel/fleet"
	"acaciakeel/policy"
	"acaciakeel/refusal"
)

// Maximum expected waits, in multiples of the objective of the route.
const (
	// maxWaitFactor limits the expected wait before the prefill of a request begins. Beyond
	// it, the request would only delay those queued behind it, and runners would prefill
	// prompts of clients that have already gone. The prefill time of the request itself does
	// not count: otherwise the largest requests would always be refused.
	maxWaitFactor = 0.5
	// maxLightWaitFactor is the limit for requests with almost no prefill.
	maxLightWaitFactor = 2
)

// maxWait returns the maximum expected wait of a request with the given prefill time. A
// prefill that takes a small part of the objective hardly delays other requests, and even a
// late response to it is worth more than the runner time it takes.
func maxWait(objective, prefill time.Duration) time.Duration {
	share := maxWaitFactor
	if prefill > 0 {
		share = min(maxLightWaitFactor, max(maxWaitFactor, maxWaitFactor*fleet.LightPrefillShare*objective.Seconds()/prefill.Seconds()))
	}
	return time.Duration(share * float64(objective))
}

// waitLimit returns the maximum expected wait of the request: late, or the limit by its
// objective if that is longer.
func (s *session) waitLimit(choice fleet.Choice, late time.Duration) time.Duration {
	prefill := choice.PrefillTime
	if s.router.fleet.Disabled(policy.LightWaitAllowance) {
		prefill = 0
	}
	limit := maxWait(s.in.route.Objective, prefill)
	if limit <= 0 {
		return limit
	}
	return max(limit, late)
}

// refuseOverload refuses a request that is expected to wait too long, immediately and with
// the time until the backlog has shrunk as Retry-After. late is a wait up to which it is
// admitted although it will be late, or 0.
func (s *session) refuseOverload(choice fleet.Choice, late time.Duration) *refusal.Error {
	limit := s.waitLimit(choice, late)
	if s.executions > 0 || s.in.Model == "" || limit <= 0 || !choice.Reliable || s.router.fleet.Disabled(policy.WaitRefusal) || choice.Wait <= limit {
		return nil
	}
	excess := choice.Wait - limit
	return refusal.New(refusal.QueueFull, "come back after the time in Retry-After",
		"reading is expected to begin in %v, over %v", choice.Wait.Round(time.Millisecond), limit).WithRetryAfter(excess + minRetryAfter + rand.N(minRetryAfter))
}

// minRetryAfter is the minimum Retry-After of a refused client. A random delay of up to the
// same length is added, so that clients refused together do not return together.
const minRetryAfter = 200 * time.Millisecond

func (s *session) refuseNoTarget() *refusal.Error {
	if refused := s.refuseVersionGone(); refused != nil {
		return refused
	}
	if s.executions > 0 {
		out := refusal.New(refusal.OutcomeUnknown, "look the result up at the service; each attempt of a client has an id of its own here",
			"no other target may be asked after one that may have run the request")
		out.Outcome = refusal.Unknown
		return out
	}
	if wait, ok := s.router.fleet.RetryAfter(s.query(), time.Now()); ok {
		return s.refuseThrottled(wait)
	}
	return refusal.New(refusal.NoTarget, "come back after the time in Retry-After",
		"none of the targets of service %s can take the request", s.in.service.Name).WithRetryAfter(defaultRetryAfter)
}

// refuseThrottled refuses a request whose targets are all at their rate limits or have asked
// for a backoff.
func (s *session) refuseThrottled(wait fleet.RetryDelay) *refusal.Error {
	kind, why := refusal.TargetsLimited, "get as many requests as they take"
	if wait.Backoff {
		kind, why = refusal.TargetsBackingOff, "asked for rest"
	}
	return refusal.New(kind, "come back after the time in Retry-After",
		"the targets of service %s that could take the request %s", s.in.service.Name, why).WithRetryAfter(wait.For + minRetryAfter + rand.N(minRetryAfter))
}
