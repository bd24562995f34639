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
	// Underway are the runners whose order has not ended, by id.
	Underway map[string]bool
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

// Next returns the runners that get an order now: those with the oldest weights
// first, since their bound ends first, and of these the idlest, as they are the
// soonest done and the least missed.
func Next(in Input) []fleet.Runner {
	room := in.AtOnce - len(in.Underway)
	if room <= 0 {
		return nil
	}
	var behind []fleet.Runner
	for _, r := range in.Runners {
		if in.due(r) {
			behind = append(behind, r)
		}
	}
	slices.SortFunc(behind, func(a, b fleet.Runner) int {
		return cmp.Or(
			cmp.Compare(in.Long[a.ID], in.Long[b.ID]),
			cmp.Compare(a.Weights[in.Model], b.Weights[in.Model]),
			cmp.Compare(in.Inflight[a.ID], in.Inflight[b.ID]),
			cmp.Compare(a.ID, b.ID))
	})
	return behind[:min(room, len(behind))]
}

func (in Input) due(r fleet.Runner) bool {
	if r.Weights[in.Model] >= in.Desired || r.Draining || in.Underway[r.ID] {
		return false
	}
	return in.Long[r.ID] == 0 || in.Behind[r.ID] > longPatience
}
