package entry

import (
	"sync"

	"acaciakeel/order"
	"acaciakeel/prefix"
	"acaciakeel/resource"
)

// rollouts remembers which weights each runner last said it had, and which
// models have moved to their new weights at this entry.
type rollouts struct {
	mu     sync.Mutex
	loaded map[string]uint64
	moved  map[string]string
}

func newRollouts() *rollouts {
	return &rollouts{loaded: map[string]uint64{}, moved: map[string]string{}}
}

// note takes a runner's word on its weights.
func (r *rollouts) note(target string, weights uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded[target] = weights
}

// serving returns the weights that a new request of a plan goes to.
func (r *rollouts) serving(p *plan, s *resource.Snapshot) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	desired := p.spec.WeightsVersion
	hash, have := prefix.NameHash(desired), 0
	for _, target := range s.TargetsOfModel(p.model) {
		if r.loaded[target] == hash {
			have++
		}
	}
	moved := r.moved[p.model] == desired
	needed := order.MinInService(p.spec.MinRunners, len(s.TargetsOfModel(p.model)))
	chosen := order.ServingVersion(desired, p.spec.PreviousVersion, have, needed, moved)
	if chosen == desired {
		r.moved[p.model] = desired
	}
	return chosen
}
