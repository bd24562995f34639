// Package policy names the mechanisms by which requests, loads and caches are
// decided, so that each can be switched off alone: to measure what it is worth, or
// to do without one that does harm.
package policy

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is the name of one that can be switched off.
type Mechanism string

// The mechanisms.
const (
	// Learning: figures of engines are fitted to what answers show. Without it the
	// guess of the first seconds holds for good, and nobody is refused by it.
	Learning Mechanism = "learning"
	// Packing: long runs fill few runners.
	Packing Mechanism = "packing"
	// ReserveForLight: runners are kept for requests that take little to read.
	ReserveForLight Mechanism = "apart"
	// CacheFetching: runners are chosen with what they can fetch; without it only what
	// they hold themselves counts, and a source is named on the chance.
	CacheFetching Mechanism = "fetching"
	// MemoryBackpressure: a target whose memory is full makes requests wait.
	MemoryBackpressure Mechanism = "memory"
	// CacheSaving: shared parts are sent to stores of kept cache.
	CacheSaving Mechanism = "saving"
	// CrossDataCentreLinks: the time of a store's link that a transfer across zones takes counts.
	CrossDataCentreLinks Mechanism = "far-links"
	// CandidateSampling: fewer runners are compared where much is decided unseen.
	CandidateSampling Mechanism = "few-compared"
	// WaitRefusal: requests are refused for their wait.
	WaitRefusal Mechanism = "refusing"
	// LightWaitAllowance: what takes little to read may wait longer.
	LightWaitAllowance Mechanism = "light-waits"
	// Truncation: long runs that go on elsewhere are cut off by orders.
	Truncation Mechanism = "cutting"
	// LoadSharing: entries tell each other their load.
	LoadSharing Mechanism = "telling"
	// SharedWatch: the members of a group live on one watch of the platform's store;
	// without it each watches itself.
	SharedWatch Mechanism = "shared-watch"
	// PoisonDetection: contents under which targets end are suspected, and refused after
	// some; Alone: suspects go to the target at which the fewest others run.
	PoisonDetection  Mechanism = "suspecting"
	SuspectIsolation Mechanism = "alone"
	// CustomerLimits: requests of customers over their limits are refused. CommonUse: what the
	// entries tell each other that they let in counts against a limit; without it each
	// keeps to its own share. Pacing: where much is let in unheard, each entry goes by
	// its share as well. DemandShares: shares follow demand; without it they are equal.
	CustomerLimits Mechanism = "limits"
	SharedUsage    Mechanism = "common-use"
	Pacing         Mechanism = "pacing"
	DemandShares   Mechanism = "demand-shares"
	// TargetLimits: the limits that targets name are kept to.
	TargetLimits Mechanism = "target-limits"
)

// All returns every mechanism.
func All() []Mechanism {
	return []Mechanism{Learning, Packing, ReserveForLight, CacheFetching, MemoryBackpressure, CacheSaving, CrossDataCentreLinks, CandidateSampling, WaitRefusal, LightWaitAllowance, Truncation, LoadSharing, SharedWatch, PoisonDetection, SuspectIsolation, CustomerLimits, SharedUsage, Pacing, DemandShares, TargetLimits}
}

// Disabled is the mechanisms that are switched off; nil is none.
type Disabled map[Mechanism]bool

// Parse reads the names of the mechanisms to switch off.
func Parse(names []string) (Disabled, error) {
	off := Disabled{}
	for _, name := range names {
		if !slices.Contains(All(), Mechanism(name)) {
			return nil, fmt.Errorf("no mechanism is called %q; write one of %s", name, strings.Join(known(), ", "))
		}
		off[Mechanism(name)] = true
	}
	return off, nil
}

func known() []string {
	out := make([]string, 0, len(All()))
	for _, m := range All() {
		out = append(out, string(m))
	}
	return out
}
