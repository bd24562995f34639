package fleet

import (
	"math"
	"strconv"
	"time"

	"acaciakeel/placement"
	"acaciakeel/prefix"
)

// Figures of where long runs go.
const (
	// denseShare is the part of a runner's slots that long runs fill before the
	// next runner gets some: the rest is for what the others sent within the last
	// pulse. The fewer runners hold long runs, the more memory is left to prompts.
	denseShare = 0.9
	// ownShare is how many times its even part of that one process fills: what
	// the others sent in the meantime it does not know, and were all to fill the
	// same runner until they hear of each other, it would overflow.
	ownShare = 1.5
	// besideLong is the cost of putting a short run with a long prompt beside one
	// long run, whose events come late while the prompt is read, and besideMost
	// the most that this counts.
	besideLong = 5 * time.Millisecond
	besideMost = 300 * time.Millisecond
)

// chooseDense packs long runs onto few runners. A batch decodes many runs in
// about the time of one, so packing costs little; and a runner without long
// runs is done within a second once it is to load other weights, where one with
// a few of them would stand nearly idle for seconds. All processes fill the
// runners in the same order, which changes with the weights, so that runners
// that still end old runs get no new ones. It returns nil where all are filled.
func (f *Fleet) chooseDense(q Query, g *group, indices []int32, now time.Time) *state {
	newest := f.named[q.Model].newest()
	for _, current := range []bool{true, false} {
		var group []int32
		for _, i := range indices {
			if (g.states[i].version(q.Model) >= newest) == current {
				group = append(group, i)
			}
		}
		if s := f.firstWithRoom(q, g, group, now); s != nil {
			return s
		}
	}
	return nil
}

// firstWithRoom returns the first runner in the order that has long runs and room
// for more, or else the first that has none: while runners change weights, the
// order's head changes with every one that is done, and must not spread the runs.
func (f *Fleet) firstWithRoom(q Query, g *group, indices []int32, now time.Time) *state {
	if len(indices) == 0 {
		return nil
	}
	var o placement.Orderer
	weights := g.states[indices[0]].version(q.Model)
	hash := prefix.NameHash(q.Model + " " + strconv.FormatInt(weights, 10))
	level := []prefix.Boundary{{Hash: hash}}
	var empty *state
	for _, i := range o.Order(g.placed, indices, level, nil, len(indices)) {
		s := g.states[i]
		room := math.Floor(denseShare * float64(s.runner.Slots))
		if !f.packable(q, room, now) {
			return nil
		}
		own := room * min(1, ownShare/float64(f.members.count()))
		switch long := s.sum(now).Long; {
		case long > 0 && float64(long) < room && float64(s.long) < max(1, own):
			return s
		case long == 0 && empty == nil:
			empty = s
		}
	}
	return empty
}
