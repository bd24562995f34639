package router

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"acaciakeel/poison"
	"acaciakeel/policy"
	"acaciakeel/refusal"
)

// poisonCase returns what identifies the request in the poison table.
func (in *admittedRequest) poisonCase() poison.Case {
	return poison.Case{Content: in.content, Service: in.service.Name, Customer: in.customerName(), Request: in.ID}
}

// poisonParts returns the shared parts of the prompt, each once.
func (in *admittedRequest) poisonParts() []poison.Part {
	var out []poison.Part
	for _, p := range in.sharedParts() {
		part := poison.NewPart(in.Model, p.ID)
		if !slices.ContainsFunc(out, func(other poison.Part) bool { return other.Fingerprint == part.Fingerprint }) {
			out = append(out, part)
		}
	}
	return out
}

// accusedParts returns the parts of the prompt that the crash of the current target counts
// against: none if it has lived on after it began to answer.
func (s *session) accusedParts() []poison.Case {
	if s.survived {
		return nil
	}
	var out []poison.Case
	for _, p := range s.in.parts {
		c := s.in.poisonCase()
		c.Content, c.Part = p.Fingerprint, p.ID
		out = append(out, c)
	}
	return out
}

// recordSurvival records that the current target lives on after it began to answer.
func (s *session) recordSurvival(now time.Time) {
	if !s.survived && now.Sub(s.attemptBegan) >= poison.SurvivalTime {
		s.survived = true
		s.router.poison.RecordPartsSurvived(s.in.parts, now)
	}
}

// maxLoggedParts bounds the prompt parts in a log line.
const maxLoggedParts = 16

// sharedParts returns the parts of the prompt but the last one, which belongs to the request
// alone.
func (r *Request) sharedParts() []Part {
	return r.Prefix[:max(0, len(r.Prefix)-1)]
}

// partsLogValue returns the IDs of the shared parts of the prompt, in their order.
func (in *admittedRequest) partsLogValue() string {
	var ids []string
	for _, p := range in.parts {
		if len(ids) == maxLoggedParts {
			ids = append(ids, "...")
			break
		}
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, ",")
}

// checkPoison refuses a request whose content is known to crash targets, and stores the
// decision by which a suspect is isolated. A request that crashes its targets is repeated
// under new IDs and at other processes, where limits per ID or per process start anew: with
// nineteen targets, the other requests on each of them were lost. Its content fingerprint
// stays the same.
func (s *session) checkPoison(now time.Time) *refusal.Error {
	if s.router.fleet.Disabled(policy.PoisonDetection) {
		return nil
	}
	decision := s.router.poison.Evaluate(s.in.content, now)
	if byPart := s.router.poison.EvaluateParts(s.in.parts, now); byPart.Outranks(decision) {
		decision = byPart
	}
	s.decision = decision
	disposition := "this one was not run"
	if s.executions > 0 {
		// An earlier attempt of this request may have crashed one of the targets.
		disposition = "this one is not sent on"
	}
	switch decision.Status {
	case poison.Refused:
		return refusal.New(refusal.CrashesTargets, "change the request, or come back after the time in Retry-After; operators can lift the verdict",
			"%d targets ended while they ran requests with %s; %s", decision.Crashes, s.poisonSubject(), disposition).WithRetryAfter(decision.Remaining)
	case poison.Waiting:
		return refusal.New(refusal.SuspectInProgress, "come back after the time in Retry-After",
			"targets ended while they ran requests with %s, and another is being tried; %s", s.poisonSubject(), disposition).WithRetryAfter(defaultRetryAfter)
	}
	return nil
}

// poisonSubject names what the crashed targets had in common with the request.
func (s *session) poisonSubject() string {
	if s.decision.Part != "" {
		return fmt.Sprintf("the same part of their prompts (%s)", s.decision.Part)
	}
	return fmt.Sprintf("the same content (%s)", s.in.content)
}
