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
	Runners []fleet.Target
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
	Runner fleet.Target
	Wait   Reason
	// Short is set where its time is short.
	Short bool
}

// Turns returns what becomes of each runner that is behind. Those whose time is short
// get their order first, by their time: passed over for idler ones at each naming, they
// would come to their bound one after the other and stand idle until their turn. Of the
// others those without long runs come first, as they are the soonest done, then those
// with the oldest weights and the idlest.
func Turns(in Input) []Turn {
	var turns []Turn
	behind := in.behind()
	d := in.deadlines(behind)
	var due []fleet.Target
	for _, r := range behind {
		if wait := d.wait(r); wait != None {
			turns = append(turns, Turn{Runner: r, Wait: wait})
		} else {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, d.compare)
	room := d.places(due) - len(in.Underway)
	for i, r := range due {
		t := Turn{Runner: r, Short: d.short[r.ID]}
		if i >= room && !d.holdsBack(r) {
			t.Wait = NoPlace
		}
		turns = append(turns, t)
	}
	return turns
}

func (in Input) behind() []fleet.Target {
	var out []fleet.Target
	for _, r := range in.Runners {
		if r.Weights[in.Model] < in.Desired {
			out = append(out, r)
		}
	}
	return out
}

// wait returns why a runner that is behind is not due.
func (d deadlines) wait(r fleet.Target) Reason {
	_, underway := d.Underway[r.ID]
	switch {
	case r.Draining:
		return Leaving
	case underway:
		return Underway
	case d.Long[r.ID] > 0 && d.Behind[r.ID] <= longPatience && !d.short[r.ID]:
		return LongRuns
	}
	return None
}

func (d deadlines) compare(a, b fleet.Target) int {
	if d.short[a.ID] || d.short[b.ID] {
		return cmp.Or(
			cmp.Compare(d.left(a), d.left(b)),
			d.compareIdle(a, b))
	}
	return d.compareIdle(a, b)
}

func (d deadlines) compareIdle(a, b fleet.Target) int {
	return cmp.Or(
		cmp.Compare(d.Long[a.ID], d.Long[b.ID]),
		cmp.Compare(a.Weights[d.Model], b.Weights[d.Model]),
		cmp.Compare(d.Inflight[a.ID], d.Inflight[b.ID]),
		cmp.Compare(a.ID, b.ID))
}
