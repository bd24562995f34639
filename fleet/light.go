package fleet

import (
	"math"
	"strconv"
	"time"

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
	need := int(math.Ceil(mix.Light / lightUtilisation))
	if need == 0 || mix.Heavy <= mix.Light || 2*need > len(indices) {
		return nil
	}
	newest := f.desired[q.Model].newest()
	level := []prefix.Boundary{{Hash: prefix.NameHash(q.Model + " light " + strconv.FormatInt(newest, 10))}}
	reserved := make(map[int32]bool, need)
	var o placement.Ranker
	order := o.Rank(g.candidates, indices, level, nil, len(indices))
	for _, current := range []bool{true, false} {
		for _, i := range order {
			if len(reserved) < need && (g.states[i].version(q.Model) >= newest) == current {
				reserved[i] = true
			}
		}
	}
	return reserved
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
