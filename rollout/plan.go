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
	// AtOnce is the most orders under way, unless the time that is left asks for more.
	AtOnce int
	// Bound is for how long after newer weights were named a runner gets requests, 0
	// where nothing bounds it, and Each what an order takes.
	Bound time.Duration
	Each  time.Duration
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

// Turns returns what becomes of each runner that is behind. Those whose time is short
// get their order first, by their time: passed over for idler ones at each naming, they
// would come to their bound one after the other and stand idle until their turn. Of the
// others those without long runs come first, as they are the soonest done, then those
// with the oldest weights and the idlest.
func Turns(in Input) []Turn {
	var turns []Turn
	behind := in.behind()
	p := in.press(behind)
	var due []fleet.Runner
	for _, r := range behind {
		if wait := p.wait(r); wait != None {
			turns = append(turns, Turn{Runner: r, Wait: wait})
		} else {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, p.compare)
	room := p.places(due) - len(in.Underway)
	for i, r := range due {
		t := Turn{Runner: r}
		if i >= room && !p.holdsBack(r) {
			t.Wait = NoPlace
		}
		turns = append(turns, t)
	}
	return turns
}

func (in Input) behind() []fleet.Runner {
	var out []fleet.Runner
	for _, r := range in.Runners {
		if r.Weights[in.Model] < in.Desired {
			out = append(out, r)
		}
	}
	return out
}

// pressed is an input with the runners whose time is short: those that have less than
// it takes to give all their orders that are due no later, as many at once as may be.
type pressed struct {
	Input
	short map[string]bool
}

func (in Input) press(behind []fleet.Runner) pressed {
	p := pressed{in, map[string]bool{}}
	if in.Bound <= 0 {
		return p
	}
	byTime := slices.SortedFunc(slices.Values(behind), func(a, b fleet.Runner) int { return cmp.Compare(p.left(a), p.left(b)) })
	for i := len(byTime) - 1; i >= 0; i-- {
		rounds := i/max(1, in.AtOnce) + 1
		left := p.left(byTime[i])
		if left < time.Duration(rounds)*in.Each {
			// All that are due no later are short of time, too.
			for _, r := range byTime[:i+1] {
				p.short[r.ID] = true
			}
			break
		}
	}
	return p
}

// left returns the time in which a runner gets requests yet.
func (p pressed) left(r fleet.Runner) time.Duration {
	return p.Bound - p.Behind[r.ID]
}

func (p pressed) is(r fleet.Runner) bool {
	return p.short[r.ID]
}

// holdsBack reports whether a runner gets no requests any more and has some that may
// still wait for their slot: an order refuses these unrun, so that they go elsewhere
// before the bound, and its load begins only when the runs have ended.
func (p pressed) holdsBack(r fleet.Runner) bool {
	return p.Bound > 0 && p.left(r) <= 0 && p.Inflight[r.ID] > 0
}

// wait returns why a runner that is behind is not due.
func (p pressed) wait(r fleet.Runner) Reason {
	_, underway := p.Underway[r.ID]
	switch {
	case r.Draining:
		return Leaving
	case underway:
		return Underway
	case p.Long[r.ID] > 0 && p.Behind[r.ID] <= longPatience && !p.is(r):
		return LongRuns
	}
	return None
}

func (p pressed) compare(a, b fleet.Runner) int {
	if p.is(a) || p.is(b) {
		return cmp.Or(
			cmp.Compare(p.left(a), p.left(b)),
			p.compareIdle(a, b))
	}
	return p.compareIdle(a, b)
}

func (p pressed) compareIdle(a, b fleet.Runner) int {
	return cmp.Or(
		cmp.Compare(p.Long[a.ID], p.Long[b.ID]),
		cmp.Compare(a.Weights[p.Model], b.Weights[p.Model]),
		cmp.Compare(p.Inflight[a.ID], p.Inflight[b.ID]),
		cmp.Compare(a.ID, b.ID))
}

// places returns how many orders may be under way, so that each of those due, in their
// order, has its order ended in time; half of the runners stay in service.
func (p pressed) places(due []fleet.Runner) int {
	places := p.AtOnce
	for i, r := range due {
		if left := p.left(r); p.is(r) && left > 0 {
			needed := time.Duration(i+1)*p.Each/left + 1
			places = max(places, int(needed))
		}
	}
	return max(p.AtOnce, min(places, len(p.Runners)/2))
}
