package fleet

import (
	"math"
	"strconv"
	"time"

	"acaciakeel/placement"
	"acaciakeel/policy"
	"acaciakeel/prefix"
)

// LightPrefillShare is the part of its objective up to which reading its whole prompt
// makes a request light: ten of them together still begin in time.
const LightPrefillShare = 0.1

// lightBusy is the part of their time for which runners kept for light requests
// read: a light request then seldom waits for others, none of which takes long.
const lightBusy = 0.5

// light reports whether a request takes little to read, however little of it is
// cached.
func (f *Fleet) light(q Query, now time.Time) bool {
	whole := f.engine(q.Service).PrefillTime(q.InputTokens, q.InputTokens, now)
	return q.Objective > 0 && whole.Seconds() < LightPrefillShare*q.Objective.Seconds()
}

// keptLight returns which of the runners at indices are kept for light requests,
// by index. A heavy prompt is read for half a second, and what another process
// sent there in the last tenth of one nobody knows; a light request behind it is
// late for the sake of a few milliseconds of its own. Apart from each other both
// need to know less. All processes find the same runners, as many as the light
// requests keep half busy; where that is half of them or more, or nothing heavy
// comes, none are kept apart.
func (f *Fleet) keptLight(q Query, g *group, indices []int32, now time.Time) map[int32]bool {
	if f.off[policy.ReserveForLight] {
		return nil
	}
	mix := f.engine(q.Service).OfferedLoad(now)
	need := int(math.Ceil(mix.Light / lightBusy))
	if need == 0 || mix.Heavy <= mix.Light || 2*need > len(indices) {
		return nil
	}
	newest := f.named[q.Model].newest()
	level := []prefix.Boundary{{Hash: prefix.NameHash(q.Model + " light " + strconv.FormatInt(newest, 10))}}
	kept := make(map[int32]bool, need)
	var o placement.Ranker
	order := o.Rank(g.placed, indices, level, nil, len(indices))
	for _, current := range []bool{true, false} {
		for _, i := range order {
			if len(kept) < need && (g.states[i].version(q.Model) >= newest) == current {
				kept[i] = true
			}
		}
	}
	return kept
}

// crossing is how many times its reading a heavy request costs where runners are
// kept for light ones: it keeps some of them waiting for as long.
const crossing = 2

// apart returns what it costs a request to go to the runner at index i, where some
// are kept for light ones: a heavy request keeps the light ones there waiting
// while it is read, a light one elsewhere meets a heavy one half-way. reading is the
// request's own, heavy the mean of the heavy ones.
func apart(q Query, kept map[int32]bool, i int32, reading, heavy time.Duration) time.Duration {
	switch {
	case len(kept) == 0 || kept[i] == q.light:
		return 0
	case q.light:
		return heavy / 2
	}
	return crossing * reading
}
