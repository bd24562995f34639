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
	// Underway is for how long the orders that have not ended have been given, by id.
	Underway map[string]time.Duration
	// Inflight is how many requests each runner works on, by id, and Long those
	// of them that take seconds.
	Inflight map[string]int
	Long     map[string]int
	// Behind is for how long each runner has been behind, by id.
	Behind map[string]time.Duration
	// AtOnce is the most orders under way.
	AtOnce int
}

// longPatience is how long runners with long runs are left to end them before
// their order: no new ones go there meanwhile. The runs that remain then end
// well within the bound on the whole rollout.
const longPatience = 3 * time.Second

// Reason is why a runner that is behind gets no order at a look.
type Reason string

// The reasons; None is that of a runner that gets its order now.
const (
	None Reason = ""
	// Leaving: it ends soon.
	Leaving Reason = "leaving"
	// Underway: its order has not ended.
	Underway Reason = "underway"
	// LongRuns: it has long runs that are left to end for a while.
	LongRuns Reason = "long_runs"
	// NoPlace: as many orders are under way as may be.
	NoPlace Reason = "no_place"
)

// Reasons are all reasons for which a runner that is behind waits.
var Reasons = []Reason{Leaving, Underway, LongRuns, NoPlace}

// Turn is what becomes of a runner that is behind.
type Turn struct {
	Runner fleet.Runner
	Wait   Reason
}

// Turns returns what becomes of each runner that is behind. Those with the oldest
// weights get their order first, since their bound ends first, and of these the
// idlest, as they are the soonest done and the least missed.
func Turns(in Input) []Turn {
	var turns []Turn
	var due []fleet.Runner
	for _, r := range in.Runners {
		if r.Weights[in.Model] >= in.Desired {
			continue
		}
		if wait := in.wait(r); wait != None {
			turns = append(turns, Turn{Runner: r, Wait: wait})
		} else {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b fleet.Runner) int {
		return cmp.Or(
			cmp.Compare(in.Long[a.ID], in.Long[b.ID]),
			cmp.Compare(a.Weights[in.Model], b.Weights[in.Model]),
			cmp.Compare(in.Inflight[a.ID], in.Inflight[b.ID]),
			cmp.Compare(a.ID, b.ID))
	})
	room := in.AtOnce - len(in.Underway)
	for i, r := range due {
		t := Turn{Runner: r}
		if i >= room {
			t.Wait = NoPlace
		}
		turns = append(turns, t)
	}
	return turns
}

// wait returns why a runner that is behind is not due.
func (in Input) wait(r fleet.Runner) Reason {
	_, underway := in.Underway[r.ID]
	switch {
	case r.Draining:
		return Leaving
	case underway:
		return Underway
	case in.Long[r.ID] > 0 && in.Behind[r.ID] <= longPatience:
		return LongRuns
	}
	return None
}
