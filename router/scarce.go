package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/policy"
	"acaciakeel/refusal"
	"acaciakeel/sharing"
)

// Both packages use the same priority classes.
var _ [fleet.PriorityClasses]struct{} = [sharing.Classes]struct{}{}

// Waits up to which less urgent requests are admitted although they will be late. A late
// response is still of use to a client that waits for it.
const (
	// minPatience and patienceFactor, a multiple of the objective, give how long clients
	// wait for the first event before they abandon a stream.
	minPatience    = 2 * time.Second
	patienceFactor = 4
	// lateShare is the part of that time up to which a request may be expected to wait; the
	// rest covers errors of the estimate.
	lateShare = 0.75
	// lateRuns bounds the wait in multiples of the time for which a run holds its slot. Targets
	// queue three times their slots; a third of the queue stays free for more urgent requests.
	lateRuns = 2
	// lateFreeShare is the part of that limit from which requests are admitted by fractions.
	lateFreeShare = 0.75
	// freeShare is the wait, as a part of the objective, up to which requests are admitted
	// whatever their share, so that no target becomes idle: about the age of what other
	// entries report.
	freeShare = 0.1
	// onTimeShare is the wait, as a part of the limit by the objective or of the objective, from
	// which waits are worked off in a lasting contention.
	onTimeShare = 0.5
)

// ShareCapacity has the router admit requests by s where targets' time is scarce. It must be
// called before the router is used.
func (r *Router) ShareCapacity(s *sharing.Sharer) { r.sharer = s }

// scarceDecision is a decision on a request while targets' time was scarce.
type scarceDecision struct {
	sharing.Decision
	class int
}

// addLogFields adds what explains a refusal.
func (d *scarceDecision) addLogFields(fields logrus.Fields, customer string) {
	fields["class"], fields["customer"] = d.class, customer
	fields["admitted_part"] = d.Fraction
	fields["first_class"], fields["first_customer"] = d.FirstClass, d.FirstCustomer
	fields["oldest_total_ms"] = d.OldestTotal.Milliseconds()
}

// refuseAdmission refuses a request that is expected to wait too long, or whose customer and
// class have had their share of the targets' time.
func (s *session) refuseAdmission(choice fleet.Choice) *refusal.Error {
	now := time.Now()
	sharer, f := s.router.sharer, s.router.fleet
	late := s.resumptionWait()
	if sharer == nil || s.attempts > 0 || s.in.Model == "" || f.Disabled(policy.CapacitySharing) {
		return s.refuseOverload(choice, late)
	}
	q := s.query()
	slot, prefill, ok := f.TargetTime(q, choice, now)
	if !ok {
		return s.refuseOverload(choice, late)
	}
	in := s.in
	r := sharing.Request{
		Service: in.service.Name, Class: q.Class, Customer: in.customerName(), Cost: sharing.Cost{Slot: slot, Prefill: prefill}, Content: sharing.Content(in.content),
		Targets: float64(choice.Targets) * f.MeanSpeed(q.Service, now), Wait: choice.Wait,
	}
	if !in.deadline.IsZero() {
		r.Remaining = in.deadline.Sub(now)
	}
	run := slot * time.Duration(choice.Target.Slots)
	if f.IsLight(q, now) {
		late = max(late, s.lateWait(q, run, r.Remaining))
	}
	limit := min(s.waitLimit(choice, 0), in.route.Objective)
	r.FreeWait, r.OnTimeWait = time.Duration(freeShare*float64(in.route.Objective)), time.Duration(onTimeShare*float64(limit))
	r.LateWait, r.Patience = time.Duration(lateFreeShare*float64(late)), patience(in.route.Objective)
	if in.resumedByClient() {
		// A resumed stream has had target time already, which would be lost.
		r.FreeWait = choice.Wait
	}
	overload := s.refuseOverload(choice, late)
	if overload != nil {
		r.Refused, r.RetryAfter = true, overload.RetryAfter
	}
	d := sharer.Decide(r, now)
	if d.Admitted {
		return nil
	}
	s.scarce = &scarceDecision{Decision: d, class: q.Class}
	if overload != nil && !d.Early {
		return overload
	}
	if d.Early {
		return refusal.New(refusal.CapacityShared, "come back after the time in Retry-After, not before",
			"the request came back before the time in its last Retry-After").WithRetryAfter(d.RetryAfter)
	}
	return refusal.New(refusal.CapacityShared, "come back after the time in Retry-After",
		"more is asked of the targets of service %s than they can do; %.0f%% of the customer's requests of priority class %d are admitted", in.service.Name, 100*d.Fraction, q.Class).WithRetryAfter(d.RetryAfter)
}

func patience(objective time.Duration) time.Duration {
	return max(minPatience, patienceFactor*objective)
}

// resumptionWait returns the wait up to which a request that resumes a stream is admitted: as long
// as its client does not abandon the stream. It may not go to most of the targets while several
// software versions serve. It is 0 for other requests.
func (s *session) resumptionWait() time.Duration {
	if !s.in.resumedByClient() {
		return 0
	}
	return time.Duration(lateShare * float64(patience(s.in.route.Objective)))
}

// lateWait returns the wait up to which a request with a short prefill is admitted although
// it will be late. Prompts with a long prefill that wait would make all behind them late. It is 0
// if no more urgent requests compete with it, as serving all late helps nobody then. run
// is the time for which it will hold its slot, remaining for how long its client waits,
// or 0.
func (s *session) lateWait(q fleet.Query, run, remaining time.Duration) time.Duration {
	f := s.router.fleet
	if q.Class == 0 || f.Disabled(policy.LateAdmission) || f.Disabled(policy.PriorityWaits) || !s.router.sharer.MoreUrgent(q.Service, q.Class) {
		return 0
	}
	return maxLateWait(s.in.route.Objective, run, remaining)
}

func maxLateWait(objective, run, remaining time.Duration) time.Duration {
	limit := patience(objective)
	if remaining > 0 {
		limit = min(limit, remaining-run)
	}
	return max(0, min(time.Duration(lateShare*float64(limit)), lateRuns*run))
}
