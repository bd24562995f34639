// Package rollout brings the runners of a model to the weights that the
// operators name: plan.go decides, purely, which runners get an order next;
// holder.go is the one process at a time that gives them.
package rollout

import (
	"cmp"
	"slices"
	"time"

	"acaciakeel/fleet"
)

// Input is what the plan rests on.
type Input struct {
	Model   string
	Desired int64
	Runners []fleet.Runner
	// InProgress is for how long the orders that have not ended have been given, by id.
	InProgress map[string]time.Duration
	// Inflight is how many requests each runner works on, by id, and Long those
	// of them that take seconds.
	Inflight map[string]int
	LongRuns map[string]int
	// StaleFor is for how long each runner has been behind, by id.
	StaleFor map[string]time.Duration
	// MaxConcurrent is the most orders under way, unless the time that is left asks for more.
	MaxConcurrent int
	// MaxStaleness is for how long after newer weights were named a runner gets requests, 0
	// where nothing bounds it, and Each what an order takes.
	MaxStaleness  time.Duration
	OrderDuration time.Duration
}

// longRunGrace is how long runners with long runs are left to end them before
// their order: no new ones go there meanwhile. The runs that remain then end
// well within the bound on the whole rollout.
const longRunGrace = 3 * time.Second

// WaitReason is why a runner that is behind gets no order at a look.
type WaitReason string

// The reasons; None is that of a runner that gets its order now.
const (
	None WaitReason = ""
	// Draining: it ends soon.
	Draining WaitReason = "leaving"
	// OrderInProgress: its order has not ended.
	OrderInProgress WaitReason = "underway"
	// LongRuns: it has long runs that are left to end for a while.
	LongRuns WaitReason = "long_runs"
	// ConcurrencyLimit: as many orders are under way as may be.
	ConcurrencyLimit WaitReason = "no_place"
)

// WaitReasons are all reasons for which a runner that is behind waits.
var WaitReasons = []WaitReason{Draining, OrderInProgress, LongRuns, ConcurrencyLimit}

// Decision is what becomes of a runner that is behind.
type Decision struct {
	Runner     fleet.Runner
	WaitReason WaitReason
	// Urgent is set where its time is short.
	Urgent bool
}

// Plan returns what becomes of each runner that is behind. Those whose time is short
// get their order first, by their time: passed over for idler ones at each naming, they
// would come to their bound one after the other and stand idle until their turn. Of the
// others those without long runs come first, as they are the soonest done, then those
// with the oldest weights and the idlest.
func Plan(in Input) []Decision {
	var decisions []Decision
	stale := in.stale()
	d := in.deadlines(stale)
	var due []fleet.Runner
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
		t := Decision{Runner: r, Urgent: d.urgent[r.ID]}
		if i >= free && !d.bypassesLimit(r) {
			t.WaitReason = ConcurrencyLimit
		}
		decisions = append(decisions, t)
	}
	return decisions
}

func (in Input) stale() []fleet.Runner {
	var out []fleet.Runner
	for _, r := range in.Runners {
		if r.Weights[in.Model] < in.Desired {
			out = append(out, r)
		}
	}
	return out
}

// waitReason returns why a runner that is behind is not due.
func (d deadlines) waitReason(r fleet.Runner) WaitReason {
	_, underway := d.InProgress[r.ID]
	switch {
	case r.Draining:
		return Draining
	case underway:
		return OrderInProgress
	case d.LongRuns[r.ID] > 0 && d.StaleFor[r.ID] <= longRunGrace && !d.urgent[r.ID]:
		return LongRuns
	}
	return None
}

func (d deadlines) compare(a, b fleet.Runner) int {
	if d.urgent[a.ID] || d.urgent[b.ID] {
		return cmp.Or(
			cmp.Compare(d.timeLeft(a), d.timeLeft(b)),
			d.compareLoad(a, b))
	}
	return d.compareLoad(a, b)
}

func (d deadlines) compareLoad(a, b fleet.Runner) int {
	return cmp.Or(
		cmp.Compare(d.LongRuns[a.ID], d.LongRuns[b.ID]),
		cmp.Compare(a.Weights[d.Model], b.Weights[d.Model]),
		cmp.Compare(d.Inflight[a.ID], d.Inflight[b.ID]),
		cmp.Compare(a.ID, b.ID))
}
