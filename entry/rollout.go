package entry

import (
	"sync"

	"acaciakeel/order"
	"acaciakeel/prefix"
	"acaciakeel/resource"
)

// rolloutTracker tracks the weights that each runner last reported, and the models that
// this entry has switched to their new weights.
type rolloutTracker struct {
	mu       sync.Mutex
	loaded   map[string]uint64
	switched map[string]string
}

func newRolloutTracker() *rolloutTracker {
	return &rolloutTracker{loaded: map[string]uint64{}, switched: map[string]string{}}
}

// recordWeights records the weights hash that a runner reported.
func (r *rolloutTracker) recordWeights(target string, weights uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded[target] = weights
}

// servingVersion returns the weights version that serves a new request.
func (r *rolloutTracker) servingVersion(m *modelRequest, snapshot *resource.Snapshot) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	desired := m.spec.WeightsVersion
	hash, upToDate := prefix.NameHash(desired), 0
	for _, target := range snapshot.TargetsOfModel(m.model) {
		if r.loaded[target] == hash {
			upToDate++
		}
	}
	switched := r.switched[m.model] == desired
	needed := order.MinInService(m.spec.MinRunners, len(snapshot.TargetsOfModel(m.model)))
	version := order.ServingVersion(desired, m.spec.PreviousVersion, upToDate, needed, switched)
	if version == desired {
		r.switched[m.model] = desired
	}
	return version
}
