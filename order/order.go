// Package order decides when an agent may take its engine out of service to
// load other weights: pure, state in, next step out. The desired state is the
// Model resource; each agent brings its own engine there.
package order

import (
	"time"
)

// MaxLoads is how many runners load weights at once over the deployment:
// past three each becomes slower.
const MaxLoads = 3

// LongestOrder bounds one order to an engine. Whoever takes over from a
// holder that may still be waiting for its engine waits this long first.
const LongestOrder = 30 * time.Second

// Step is what an agent does next.
type Step string

// The steps of bringing an engine to its weights.
const (
	// Rest: the engine has the weights that it should have.
	Rest Step = "rest"
	// AwaitSlot: get one of the deployment's load slots.
	AwaitSlot Step = "await_slot"
	// AwaitTurn: without the platform's service, wait for the runner's turn.
	AwaitTurn Step = "await_turn"
	// Drain: take no new requests and let what runs end.
	Drain Step = "drain"
	// TakeOwnership: write the order's record, whose revision is the fence.
	TakeOwnership Step = "take_ownership"
	// WaitOut: an earlier holder's order may still reach an engine that does
	// not check fencing numbers.
	WaitOut Step = "wait_out"
	// Load: send the order.
	Load Step = "load"
)

// Input is what the decision rests on.
type Input struct {
	Desired  string
	Loaded   string
	EngineUp bool
	// SlotHeld: a load slot is held and its lease is good for LongestOrder.
	SlotHeld bool
	// PlatformDownFor is how long the slots could not be asked for; 0 while they can.
	PlatformDownFor time.Duration
	// Rank is the runner's place among those of its model, and LoadTime how
	// long weights take: together its turn while the slots can't be asked for.
	Rank     int
	LoadTime time.Duration
	// Idle: nothing waits or runs at the engine.
	Idle bool
	// Owned: the record of this order is written.
	Owned bool
	// OthersOrder is how long ago another holder's unfinished order was first
	// seen; 0 if there is none. ChecksFencing: the engine refuses it by itself.
	OthersOrder   time.Duration
	OthersPending bool
	ChecksFencing bool
}

// platformPatience is how long an agent waits for the platform's service to
// come back before runners take turns without it.
const platformPatience = 10 * time.Second

// Next returns the next step.
func Next(in Input) Step {
	switch {
	case !in.EngineUp || in.Desired == "" || in.Loaded == in.Desired:
		return Rest
	case !in.SlotHeld && in.PlatformDownFor == 0:
		return AwaitSlot
	case !in.SlotHeld && in.PlatformDownFor < turn(in):
		return AwaitTurn
	case !in.Idle:
		return Drain
	case in.OthersPending && !in.ChecksFencing && in.OthersOrder < LongestOrder:
		return WaitOut
	case !in.Owned && in.PlatformDownFor == 0:
		return TakeOwnership
	}
	return Load
}

// turn returns how long the platform's service must have been away until the
// runner may load: MaxLoads runners at a time, in the order of their ranks.
func turn(in Input) time.Duration {
	return platformPatience + time.Duration(in.Rank/MaxLoads)*2*in.LoadTime
}
