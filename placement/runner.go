// Package placement decides which of a model's runners answers a request, as
// a chain of small pure steps: filters leave runners out, Order ranks the
// rest by nested rendezvous, a scorer turns agents' answers into costs and a
// picker takes the least. Entries share no state, so every entry and every
// restarted entry decides alike.
package placement

import (
	"acaciakeel/prefix"
)

// Runner is one candidate target.
type Runner struct {
	Name       string
	DataCentre string
	Region     string
	Draining   bool
	hash       uint64
}

// NewRunner returns a runner with its rendezvous hash worked out.
func NewRunner(name, dataCentre, region string, leaving bool) Runner {
	return Runner{
		Name:       name,
		DataCentre: dataCentre,
		Region:     region,
		Draining:   leaving,
		hash:       prefix.NameHash(name),
	}
}

// Estimate is what a runner's agent said about one prompt.
type Estimate struct {
	Ready bool
	// CachedTokens of the prompt need no prefill.
	CachedTokens int
	// WaitSeconds is the expected wait before this prompt's prefill begins.
	WaitSeconds float64
	// PrefillRate is tokens a second, as measured by the agent.
	PrefillRate float64
	// LifetimeSeconds is how long cached blocks last there after their last
	// use; 0 while none is evicted.
	LifetimeSeconds float64
	// PenaltySeconds is the entry's own doubt about the runner.
	PenaltySeconds float64
	// NetworkSeconds is the time of a message there and back.
	NetworkSeconds float64
}
