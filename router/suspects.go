package router

import (
	"time"

	"acaciakeel/poison"
	"acaciakeel/policy"
	"acaciakeel/refusal"
)

// suspicion is the request as far as a verdict on its content needs it.
func (in *admitted) suspicion() poison.Case {
	return poison.Case{Content: in.content, Service: in.service.Name, Customer: in.customerName(), Request: in.ID}
}

// judge refuses a request whose content is known to end targets, and has one that may
// be go alone. A request that ends whoever runs it comes again under other ids and at
// other processes: bounds that count by id or by process begin anew each time, and with
// nineteen targets the requests of others on each of them were lost. The content stays
// the same.
func (s *session) judge(now time.Time) *refusal.Error {
	if s.router.fleet.Disabled(policy.PoisonDetection) {
		return nil
	}
	j := s.router.poison.Evaluate(s.in.content, now)
	s.judged = j
	became := "this one was not run"
	if s.ran > 0 {
		// An earlier send of this very request may have ended one of them.
		became = "this one is not sent on"
	}
	switch j.Status {
	case poison.Refused:
		return refusal.New(refusal.CrashesTargets, "change the request, or come back after the time in Retry-After; operators can lift the verdict",
			"%d targets ended while they ran requests with the same content (%s); %s", j.Crashes, s.in.content, became).WithRetryAfter(j.Remaining)
	case poison.Waiting:
		return refusal.New(refusal.SuspectInProgress, "come back after the time in Retry-After",
			"a target ended while it ran a request with the same content (%s), and another is being tried; %s", s.in.content, became).WithRetryAfter(retryAfter)
	}
	return nil
}
