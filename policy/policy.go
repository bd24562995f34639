// Package policy names the mechanisms that decide how requests, weight loads and caches
// are handled. Each can be disabled on its own, to measure its effect or to turn off
// one that causes harm.
package policy

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism names a mechanism that can be disabled.
type Mechanism string

const (
	// Learning fits the engine performance estimates to observed responses. Without it
	// the initial estimates stay in use, and no request is refused because of them.
	Learning Mechanism = "learning"
	// Packing concentrates long runs on few runners.
	Packing Mechanism = "packing"
	// ReserveForLight reserves runners for requests with a short prefill.
	ReserveForLight Mechanism = "apart"
	// CacheFetching counts the blocks that a runner can fetch when runners are compared.
	// Without it only the blocks that a runner holds count, and it is only told to try the
	// store that would keep the shared prompt parts.
	CacheFetching Mechanism = "fetching"
	// MemoryBackpressure makes requests wait while their target's memory is full.
	MemoryBackpressure Mechanism = "memory"
	// CacheSaving sends shared prompt parts to the stores of KV cache.
	CacheSaving Mechanism = "saving"
	// CrossDataCentreLinks counts the time for which a transfer to another data centre
	// occupies a store's link.
	CrossDataCentreLinks Mechanism = "far-links"
	// CandidateSampling compares fewer runners while many decisions of other entries
	// are not yet known here.
	CandidateSampling Mechanism = "few-compared"
	// WaitRefusal refuses requests whose expected wait is too long.
	WaitRefusal Mechanism = "refusing"
	// LearnedSlotTime uses the observed time for which requests hold a slot in place of a
	// constant when the wait for a slot is estimated.
	LearnedSlotTime Mechanism = "slot-times"
	// PriorityWaits counts only the load of a request's own and more urgent priority
	// classes in its expected wait.
	PriorityWaits Mechanism = "class-waits"
	// CapacitySharing shares the targets' time between priority classes and customers while
	// more is asked for than there is.
	CapacitySharing Mechanism = "capacity-sharing"
	// LateAdmission lets less urgent requests wait for as long as their clients do, where
	// more urgent ones compete with them.
	LateAdmission Mechanism = "late-work"
	// ArrivalGrowth lengthens the expected wait of less urgent requests by the more urgent
	// ones that arrive meanwhile. It is off unless it is switched on: the limits on waits
	// already leave room for them, and more long prompts were refused with it
	// (docs/design/sharing.md).
	ArrivalGrowth Mechanism = "arrival-growth"
	// LightWaitAllowance lets requests with a short prefill wait longer before they are
	// refused.
	LightWaitAllowance Mechanism = "light-waits"
	// Truncation lets a load order end long runs that another runner can resume.
	Truncation Mechanism = "cutting"
	// LoadSharing has the entries exchange the load that they put on targets.
	LoadSharing Mechanism = "telling"
	// SharedWatch has the members of a group share one watch of the platform's store.
	// Without it each member watches the store itself.
	SharedWatch Mechanism = "shared-watch"
	// PoisonDetection tracks contents under which targets crash and refuses them after
	// several crashes. SuspectIsolation sends suspect requests to the target with the
	// fewest other requests.
	PoisonDetection  Mechanism = "suspecting"
	SuspectIsolation Mechanism = "alone"
	// CustomerLimits refuses requests of customers over their limits. SharedUsage
	// counts the usage reported by other entries against a limit; without it each entry
	// enforces its own share. Pacing additionally holds each entry to its share while
	// much usage is not yet reported. DemandShares sets the shares by demand; without
	// it they are equal.
	CustomerLimits Mechanism = "limits"
	SharedUsage    Mechanism = "common-use"
	Pacing         Mechanism = "pacing"
	DemandShares   Mechanism = "demand-shares"
	// TargetLimits enforces the rate limits that targets advertise.
	TargetLimits Mechanism = "target-limits"
	// TargetSpeeds learns the lasting speed of each target relative to its service from
	// observed times. It is off unless it is switched on: where targets are equally fast, the
	// noise of the times moved requests away from cached prompts (docs/design/pauses.md).
	// TargetSlowdowns counts the current slowdown that a target reports.
	TargetSpeeds    Mechanism = "speeds"
	TargetSlowdowns Mechanism = "slowdowns"
	// ConnectionRefusal closes new connections unread while the process gets too little
	// processor time, and another node can take them.
	ConnectionRefusal Mechanism = "connection-refusal"
	// ResponseBuffering holds what clients that read slowly have not taken yet, so that
	// the entry goes on reading from the target.
	ResponseBuffering Mechanism = "response-buffer"
	// ResponseChecks probes targets whose requests are overdue, and gives up requests at
	// those that do not respond.
	ResponseChecks Mechanism = "response-checks"
	// Division keeps light and heavy requests with a bound on pauses on their own sides of
	// the reserved targets, unless they would wait there.
	Division Mechanism = "division"
	// EventPauses, in place of Division, places requests by the pauses between events that
	// they are expected to cause in streams with a bound, and to have themselves. It is off
	// unless it is switched on: Division served better (docs/design/pauses.md).
	EventPauses Mechanism = "pauses"
)

func All() []Mechanism {
	return []Mechanism{
		Learning, Packing, ReserveForLight, CacheFetching, MemoryBackpressure, CacheSaving, CrossDataCentreLinks, CandidateSampling,
		WaitRefusal, LearnedSlotTime, PriorityWaits, ArrivalGrowth, CapacitySharing, LateAdmission, LightWaitAllowance, Truncation, LoadSharing, SharedWatch,
		PoisonDetection, SuspectIsolation, CustomerLimits, SharedUsage, Pacing, DemandShares, TargetLimits,
		TargetSpeeds, TargetSlowdowns, ResponseBuffering, ConnectionRefusal, ResponseChecks, Division, EventPauses,
	}
}

// Disabled is the set of disabled mechanisms; nil disables none.
type Disabled map[Mechanism]bool

// Parse converts names of mechanisms to the set to disable. It rejects unknown names.
func Parse(names []string) (Disabled, error) {
	off := Disabled{}
	for _, name := range names {
		if !slices.Contains(All(), Mechanism(name)) {
			return nil, fmt.Errorf("unknown mechanism %q; valid mechanisms are %s", name, strings.Join(mechanismNames(), ", "))
		}
		off[Mechanism(name)] = true
	}
	return off, nil
}

// offByDefault are the mechanisms that must be switched on.
var offByDefault = []Mechanism{ArrivalGrowth, TargetSpeeds, EventPauses}

// Select returns the set to disable, given the names of mechanisms to switch off and on. It
// rejects unknown names.
func Select(without, with []string) (Disabled, error) {
	off, err := Parse(without)
	if err != nil {
		return nil, fmt.Errorf("--without: %w", err)
	}
	on, err := Parse(with)
	if err != nil {
		return nil, fmt.Errorf("--with: %w", err)
	}
	for _, m := range offByDefault {
		if !on[m] {
			off[m] = true
		}
	}
	for m := range on {
		if slices.Contains(without, string(m)) {
			return nil, fmt.Errorf("mechanism %q is switched both on and off; remove --with or --without", m)
		}
	}
	return off, nil
}

func mechanismNames() []string {
	out := make([]string, 0, len(All()))
	for _, m := range All() {
		out = append(out, string(m))
	}
	return out
}
