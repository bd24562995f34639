// Package order decides when an agent takes its engine out of service to load other
// weights, and which version of the weights requests are routed to meanwhile. The
// functions are pure. The desired version comes from the Model resource; each agent
// brings its own engine to it.
package order

import "time"

// MaxConcurrentLoads is how many runners of the deployment load weights at the same
// time. With more than three each load becomes slower.
const MaxConcurrentLoads = 3

// OrderTimeout bounds one load command to an engine. An agent that finds an unfinished
// command of another process waits this long before it sends its own, because an engine
// that does not check fencing may still execute the other one.
const OrderTimeout = 20 * time.Second

// PlatformGracePeriod is how long an agent waits for the platform's service to return
// before runners load weights without it.
const PlatformGracePeriod = 10 * time.Second

type Step string

// The steps of bringing an engine to its weights, in their order.
const (
	// NoStep: the engine has the desired weights or is down.
	NoStep Step = "rest"
	// AcquireSlot: acquire one of the deployment's load slots.
	AcquireSlot Step = "take_slot"
	// AwaitTurn: the slots are unreachable; wait for TurnDelay.
	AwaitTurn Step = "await_turn"
	// Drain: accept no new requests and let queued and running ones finish.
	Drain Step = "drain"
	// Load: take ownership of the engine and send it the load command.
	Load Step = "load"
)

// Input is the state that Next decides on.
type Input struct {
	EngineUp bool
	Desired  string
	Loaded   string
	// SlotHeld is set if this runner has a load slot.
	SlotHeld bool
	// PlatformDownFor is how long the slots have been unreachable; 0 while they are
	// reachable.
	PlatformDownFor time.Duration
	// Rank is the position of the runner among those of its model.
	Rank int
	// Idle is set if the engine has no queued or running requests.
	Idle bool
}

// Next returns the agent's next step.
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

// TurnDelay returns how long the platform's service must have been down before the
// runner of this rank may load without a slot. MaxConcurrentLoads runners load at a
// time, OrderTimeout apart.
func TurnDelay(rank int) time.Duration {
	return PlatformGracePeriod + time.Duration(rank/MaxConcurrentLoads)*OrderTimeout
}

// MinInService returns how many of a model's runners must stay in service during a
// rollout of weights: the operator's setting, or half of them.
func MinInService(minRunners, runners int) int {
	if minRunners > 0 {
		return min(minRunners, runners)
	}
	return (runners + 1) / 2
}

// ConcurrentLoads returns how many of a model's runners may load at the same time
// without going below MinInService. It is at least one, as a rollout would otherwise
// never progress.
func ConcurrentLoads(minRunners, runners int) int {
	return min(MaxConcurrentLoads, max(1, runners-MinInService(minRunners, runners)))
}

// ServingVersion returns the version of the weights that new requests are routed to
// while a model changes from previous to desired. It is the desired version once enough
// runners are known to have it. The caller passes moved from then on, because no
// request may go back to older weights.
func ServingVersion(desired, previous string, withDesired, minRunners int, moved bool) string {
	if previous == "" || moved || withDesired >= minRunners {
		return desired
	}
	return previous
}
