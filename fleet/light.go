package fleet

import (
	"math"
	"strconv"
	"time"

	"acaciakeel/forecast"
	"acaciakeel/placement"
	"acaciakeel/policy"
	"acaciakeel/prefix"
)

// LightPrefillShare is the fraction of its objective up to which prefilling its whole
// prompt makes a request light: ten of them in a row still start in time.
const LightPrefillShare = 0.1

// lightUtilisation is the fraction of time for which targets reserved for light requests
// prefill: a light request then seldom waits for others, none of which takes long.
const lightUtilisation = 0.5

// IsLight reports whether a request takes little time to prefill even if nothing of it is
// cached.
func (f *Fleet) IsLight(q Query, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isLight(q, now)
}

// isLight reports whether a request takes little time to prefill even if nothing of it is
// cached.
func (f *Fleet) isLight(q Query, now time.Time) bool {
	whole := f.engine(q.Service).PrefillTime(q.InputTokens, q.InputTokens, now)
	return q.Objective > 0 && whole.Seconds() < LightPrefillShare*q.Objective.Seconds()
}

// reservedForLight returns which of the targets at indices are reserved for light
// requests, by index. A heavy prompt takes half a second to prefill, and what other
// processes sent to a target in the last 100 ms is unknown; a light request behind a
// heavy one is late though it needs a few milliseconds itself. Kept apart, both depend
// less on what is unknown. All processes reserve the same targets, as many as the light
// requests keep half busy. None are reserved if that is more than half of the targets, or
// if heavy requests take no more time than light ones.
func (f *Fleet) reservedForLight(q Query, g *group, indices []int32, now time.Time) map[int32]bool {
	if f.disabled[policy.ReserveForLight] {
		return nil
	}
	mix := f.engine(q.Service).OfferedLoad(now)
	if q.MaxEventGap > 0 && !f.disabled[policy.EventPauses] {
		return f.reservedByDemand(q, g, indices, mix, now)
	}
	need := int(math.Ceil(mix.Light / lightUtilisation))
	if need == 0 || mix.Heavy <= mix.Light || 2*need > len(indices) {
		return nil
	}
	reserved := make(map[int32]bool, need)
	for _, i := range f.lightOrder(q, g, indices) {
		if len(reserved) < need {
			reserved[i] = true
		}
	}
	return reserved
}

// lightOrder returns the targets at indices in the order in which they are reserved for light
// requests, which is the same in all processes.
func (f *Fleet) lightOrder(q Query, g *group, indices []int32) []int32 {
	newest := f.desired[q.Model].newest()
	level := []prefix.Boundary{{Hash: prefix.NameHash(q.Model + " light " + strconv.FormatInt(newest, 10))}}
	var o placement.Ranker
	order := o.Rank(g.candidates, indices, level, nil, len(indices))
	sorted := make([]int32, 0, len(order))
	for _, current := range []bool{true, false} {
		for _, i := range order {
			if (g.states[i].version(q.Model) >= newest) == current {
				sorted = append(sorted, i)
			}
		}
	}
	return sorted
}

// reservedByDemand returns the targets that are reserved for light requests where streams
// have a bound: targets with as large a part of the speed of all as light requests have of
// the demand. Packed onto fewer targets, light requests would cause each other's pauses.
// None are reserved if one kind has hardly any demand.
func (f *Fleet) reservedByDemand(q Query, g *group, indices []int32, mix forecast.OfferedLoad, now time.Time) map[int32]bool {
	all := mix.Light + mix.Heavy
	if all <= 0 || min(mix.Light, mix.Heavy) < minDemandShare*all {
		return nil
	}
	speed := func(i int32) float64 { return f.pace(g.states[i], now).Speed() }
	total, part := 0.0, 0.0
	for _, i := range indices {
		total += speed(i)
	}
	reserved := map[int32]bool{}
	for _, i := range f.lightOrder(q, g, indices) {
		if part+speed(i)/2 >= total*mix.Light/all && len(reserved) > 0 {
			break
		}
		part += speed(i)
		reserved[i] = true
	}
	return reserved
}

// boundedMismatchDivisor is by what the cost of a mismatch is divided where pauses have a cost
// of their own: that already contains what requests of the two kinds do to each other's events.
const boundedMismatchDivisor = 2

// minDemandShare is the part of the demand that each kind of request must have for targets to
// be reserved: with less, one target of a dozen would serve it alone.
const minDemandShare = 0.05

// maxDivisionWait is the expected wait, as a fraction of the objective, from which a request
// may also use the targets of the other side: half of the wait with which a heavy one is
// refused (package router).
const maxDivisionWait = 0.25

// division returns the targets on the request's side of the division between light and heavy
// requests. Only requests whose streams have a bound on pauses keep to it: a prompt that is
// prefilled for 200 ms makes all streams of its target pause. Without targets of its own, a
// request may use all.
func (f *Fleet) division(q Query, indices []int32, reserved map[int32]bool) []int32 {
	if q.MaxEventGap <= 0 || len(reserved) == 0 || f.disabled[policy.Division] || !f.disabled[policy.EventPauses] {
		return indices
	}
	var own []int32
	for _, i := range indices {
		if reserved[i] == q.light {
			own = append(own, i)
		}
	}
	if len(own) == 0 {
		return indices
	}
	return own
}

// mismatchFactor is the multiple of its own prefill time that a heavy request costs at a
// target reserved for light ones, some of which wait there for as long.
const mismatchFactor = 2

// mismatchCost returns what it costs to send a request to the target at index i while
// some targets are reserved: a heavy request at a reserved target delays the light ones
// there by its own prefill time, a light one elsewhere finds a heavy one half-way through
// on average. heavy is the mean prefill time of heavy requests.
func mismatchCost(q Query, reserved map[int32]bool, i int32, prefill, heavy time.Duration) time.Duration {
	switch {
	case len(reserved) == 0 || reserved[i] == q.light:
		return 0
	case q.light:
		return heavy / 2
	}
	return mismatchFactor * prefill
}
