// Package rollout brings the runners of a model to the version of the weights that the
// operators set. Plan decides, without side effects, which runners get a load order
// next; a Controller in one process at a time, the holder of the LeaderLock, sends the
// orders.
package rollout

import (
	"cmp"
	"slices"
	"time"

	"acaciakeel/fleet"
)

// Input is the state on which a plan is based.
type Input struct {
	Model   string
	Desired int64
	Runners []fleet.Target
	// Unresponsive holds the runners that do not respond, by runner ID. They take no
	// slot and do not count towards the limits.
	Unresponsive map[string]bool
	// InProgress is how long ago each order that has not ended was planned, by runner
	// ID.
	InProgress map[string]time.Duration
	// Inflight is the number of requests at each runner, and LongRuns the number of
	// those that take seconds, by runner ID.
	Inflight map[string]int
	LongRuns map[string]int
	// StaleFor is how long a newer version than the runner's has been desired, by
	// runner ID.
	StaleFor map[string]time.Duration
	// MaxConcurrent is the maximum number of orders in progress; more are allowed if
	// deadlines would be missed otherwise.
	MaxConcurrent int
	// MaxStaleness is how long after a newer version became desired a runner still gets
	// requests; 0 means no bound. OrderDuration is the expected duration of an order.
	MaxStaleness  time.Duration
	OrderDuration time.Duration
}

// longRunGrace is how long runners with long runs may finish them before their order;
// they get no new long runs in that time. The runs that remain then end well within the
// bound on the whole rollout.
const longRunGrace = 3 * time.Second

// WaitReason is why a stale runner gets no order at present.
type WaitReason string

// The reasons to wait. None means that the runner gets its order now.
const (
	None WaitReason = ""
	// Draining: the runner will stop soon.
	Draining WaitReason = "leaving"
	// OrderInProgress: the runner's order has not ended.
	OrderInProgress WaitReason = "underway"
	// LongRuns: the runner has long runs and is given time to finish them.
	LongRuns WaitReason = "long_runs"
	// ConcurrencyLimit: the maximum number of orders is in progress.
	ConcurrencyLimit WaitReason = "no_place"
	// Unresponsive: the runner does not answer the request for its report.
	Unresponsive WaitReason = "unresponsive"
)

// WaitReasons lists the reasons for which a stale runner waits.
var WaitReasons = []WaitReason{Draining, OrderInProgress, LongRuns, ConcurrencyLimit, Unresponsive}

// Decision is the plan for one stale runner.
type Decision struct {
	Runner     fleet.Target
	WaitReason WaitReason
	// Urgent is set if the runner's deadline would be missed at the usual concurrency.
	Urgent bool
}

// Plan returns a decision for each stale runner. Urgent runners get their order first,
// by remaining time: if idler ones went first after every new version, the urgent ones
// would reach their bound one after the other and stay idle until their turn. Of the
// others, runners without long runs come first because they finish soonest, then those
// with the oldest weights, then those with the fewest requests.
func Plan(in Input) []Decision {
	var decisions []Decision
	stale := in.stale()
	d := in.deadlines(stale)
	var due []fleet.Target
	for _, r := range stale {
		if wait := d.waitReason(r); wait != None {
			decisions = append(decisions, Decision{Runner: r, WaitReason: wait})
		} else {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, d.compare)
	free := d.concurrency(due) - len(in.InProgress)
	for i, r := range due {
		decision := Decision{Runner: r, Urgent: d.urgent[r.ID]}
		if i >= free && !d.bypassesLimit(r) {
			decision.WaitReason = ConcurrencyLimit
		}
		decisions = append(decisions, decision)
	}
	return decisions
}

// responsiveCount returns how many runners respond.
func (in Input) responsiveCount() int {
	return len(in.Runners) - len(in.Unresponsive)
}

func (in Input) stale() []fleet.Target {
	var out []fleet.Target
	for _, r := range in.Runners {
		if r.Weights[in.Model] < in.Desired {
			out = append(out, r)
		}
	}
	return out
}

// waitReason returns why a stale runner is not due.
func (d deadlines) waitReason(r fleet.Target) WaitReason {
	_, underway := d.InProgress[r.ID]
	switch {
	case r.Draining:
		return Draining
	case underway:
		return OrderInProgress
	case d.Unresponsive[r.ID]:
		return Unresponsive
	case d.LongRuns[r.ID] > 0 && d.StaleFor[r.ID] <= longRunGrace && !d.urgent[r.ID]:
		return LongRuns
	}
	return None
}

func (d deadlines) compare(a, b fleet.Target) int {
	if d.urgent[a.ID] || d.urgent[b.ID] {
		return cmp.Or(
			cmp.Compare(d.timeLeft(a), d.timeLeft(b)),
			d.compareLoad(a, b))
	}
	return d.compareLoad(a, b)
}

func (d deadlines) compareLoad(a, b fleet.Target) int {
	return cmp.Or(
		cmp.Compare(d.LongRuns[a.ID], d.LongRuns[b.ID]),
		cmp.Compare(a.Weights[d.Model], b.Weights[d.Model]),
		cmp.Compare(d.Inflight[a.ID], d.Inflight[b.ID]),
		cmp.Compare(a.ID, b.ID))
}
