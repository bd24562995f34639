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
	// Apart: runners are kept for requests that take little to read.
	Apart Mechanism = "apart"
	// Fetching: runners are chosen with what they can fetch; without it only what
	// they hold themselves counts, and a source is named on the chance.
	Fetching Mechanism = "fetching"
	// Memory: a target whose memory is full makes requests wait.
	Memory Mechanism = "memory"
	// Saving: shared parts are sent to stores of kept cache.
	Saving Mechanism = "saving"
	// FarLinks: the time of a store's link that a transfer across zones takes counts.
	FarLinks Mechanism = "far-links"
	// FewCompared: fewer runners are compared where much is decided unseen.
	FewCompared Mechanism = "few-compared"
	// Refusing: requests are refused for their wait.
	Refusing Mechanism = "refusing"
	// LightWaits: what takes little to read may wait longer.
	LightWaits Mechanism = "light-waits"
	// Cutting: long runs that go on elsewhere are cut off by orders.
	Cutting Mechanism = "cutting"
	// Telling: entries tell each other their load.
	Telling Mechanism = "telling"
	// SharedWatch: the members of a group live on one watch of the platform's store;
	// without it each watches itself.
	SharedWatch Mechanism = "shared-watch"
	// Suspecting: contents under which targets end are suspected, and refused after
	// some; Alone: suspects go to the target at which the fewest others run.
	Suspecting Mechanism = "suspecting"
	Alone      Mechanism = "alone"
	// Limits: requests of customers over their limits are refused. CommonUse: what the
	// entries tell each other that they let in counts against a limit; without it each
	// keeps to its own share. Pacing: where much is let in unheard, each entry goes by
	// its share as well. DemandShares: shares follow demand; without it they are equal.
	Limits       Mechanism = "limits"
	CommonUse    Mechanism = "common-use"
	Pacing       Mechanism = "pacing"
	DemandShares Mechanism = "demand-shares"
	// TargetLimits: the limits that targets name are kept to.
	TargetLimits Mechanism = "target-limits"
)

// All returns every mechanism.
func All() []Mechanism {
	return []Mechanism{Learning, Packing, Apart, Fetching, Memory, Saving, FarLinks, FewCompared, Refusing, LightWaits, Cutting, Telling, SharedWatch, Suspecting, Alone, Limits, CommonUse, Pacing, DemandShares, TargetLimits}
}

// Off is the mechanisms that are switched off; nil is none.
type Off map[Mechanism]bool

// Parse reads the names of the mechanisms to switch off.
func Parse(names []string) (Off, error) {
	off := Off{}
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
