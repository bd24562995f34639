// Package placement decides which of a model's runners serves a request, in a chain of
// small pure steps: filters exclude runners, Rank orders the rest by nested rendezvous
// hashing, Cost converts the agents' estimates to costs, and Pick chooses the least.
// Entries share no state, and all of them, restarted ones included, decide alike.
package placement

import (
	"acaciakeel/prefix"
)

// Runner is a candidate target.
type Runner struct {
	Name       string
	DataCentre string
	Region     string
	Draining   bool
	hash       uint64
}

// NewRunner returns a runner with its rendezvous hash computed.
func NewRunner(name, dataCentre, region string, draining bool) Runner {
	return Runner{
		Name:       name,
		DataCentre: dataCentre,
		Region:     region,
		Draining:   draining,
		hash:       prefix.NameHash(name),
	}
}

// Estimate is what is known or expected of one prompt at a runner.
type Estimate struct {
	Ready bool
	// CachedTokens is the number of prompt tokens that need no prefill.
	CachedTokens int
	// WaitSeconds is the expected wait until the prefill of the prompt begins.
	WaitSeconds float64
	// PrefillRate is the measured rate in tokens per second; 0 if not measured yet.
	PrefillRate float64
	// LifetimeSeconds is how long cached blocks stay in the runner's cache after their
	// last use; 0 while none is evicted.
	LifetimeSeconds float64
	// PenaltySeconds is added by the entry for runners that it prefers to avoid, such
	// as those that failed recently.
	PenaltySeconds float64
	// NetworkSeconds is the round-trip time to the runner plus the expected cost of
	// fetching cached blocks.
	NetworkSeconds float64
}
