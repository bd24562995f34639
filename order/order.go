// Package order decides when an agent takes its engine out of service to load
// other weights, and which weights entries route to meanwhile. It is pure:
// state in, next step out. The desired state is the Model resource; each
// agent brings its own engine there.
package order

import "time"

// MaxConcurrentLoads is how many runners load weights at once over the deployment:
// past three each becomes slower.
const MaxConcurrentLoads = 3

// OrderTimeout bounds one order to an engine. Whoever takes over from a holder
// that may still be waiting for its engine waits this long first.
const OrderTimeout = 20 * time.Second

// PlatformGracePeriod is how long an agent waits for the platform's service to
// come back before runners take turns without it.
const PlatformGracePeriod = 10 * time.Second

// Step is what an agent does next.
type Step string

// The steps of bringing an engine to its weights, in their order.
const (
	// NoStep: the engine has the weights that it should have, or is away.
	NoStep Step = "rest"
	// AcquireSlot: get one of the deployment's load slots.
	AcquireSlot Step = "take_slot"
	// AwaitTurn: the slots can't be asked for; wait for the runner's turn.
	AwaitTurn Step = "await_turn"
	// Drain: take no new requests, and let what waits and runs end.
	Drain Step = "drain"
	// Load: own the engine and send the order.
	Load Step = "load"
)

// Input is what the decision rests on.
type Input struct {
	EngineUp bool
	Desired  string
	Loaded   string
	// SlotHeld: a load slot is held.
	SlotHeld bool
	// PlatformDownFor is how long the slots could not be asked for; 0 while they can.
	PlatformDownFor time.Duration
	// Rank is the runner's place among those of its model.
	Rank int
	// Idle: nothing waits or runs at the engine.
	Idle bool
}

// Next returns the next step.
func Next(in Input) Step {
	switch {
	case !in.EngineUp || in.Desired == "" || in.Loaded == in.Desired:
		return NoStep
	case !in.SlotHeld && in.PlatformDownFor == 0:
		return AcquireSlot
	case !in.SlotHeld && in.PlatformDownFor < TurnDelay(in.Rank):
		return AwaitTurn
	case !in.Idle:
		return Drain
	}
	return Load
}

// TurnDelay returns how long the platform's service must have been away until the
// runner of a rank may load without a slot: MaxLoads at a time, a longest
// order apart.
func TurnDelay(rank int) time.Duration {
	return PlatformGracePeriod + time.Duration(rank/MaxConcurrentLoads)*OrderTimeout
}

// MinInService returns how many of a model's runners must stay in service while
// weights roll out: what the operator says, or half of them.
func MinInService(minRunners, runners int) int {
	if minRunners > 0 {
		return min(minRunners, runners)
	}
	return (runners + 1) / 2
}

// ConcurrentLoads returns how many of a model's runners may load at once: no more
// than leaves the needed ones in service, but one, or nothing would ever change.
func ConcurrentLoads(minRunners, runners int) int {
	return min(MaxConcurrentLoads, max(1, runners-MinInService(minRunners, runners)))
}

// ServingVersion returns the weights that new requests go to while a model changes
// from previous to desired: the desired ones as soon as enough runners are
// known to have them, and for good from then on, since no request may move
// to older weights.
func ServingVersion(desired, previous string, withDesired, minRunners int, moved bool) string {
	if previous == "" || moved || withDesired >= minRunners {
		return desired
	}
	return previous
}
