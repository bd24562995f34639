package fleet

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"acaciakeel/placement"
	"acaciakeel/prefix"
)

// Figures of where long runs go.
const (
	// denseShare is the part of a runner's slots that long runs fill before the
	// next runner gets some: the rest is for short ones that share its prompts. The
	// fewer runners hold long runs, the more memory is left to prompts.
	denseShare = 0.9
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

// firstWithRoom returns one of the first runners in the order that have long runs and
// room for more, or else of the first that have none: while runners change weights,
// the order's head changes with every one that is done, and must not spread the runs.
//
// With a hundred processes, as many runs are decided in the time that news takes as
// several runners hold. Were all to go to the first with room, its queue would
// overflow while the next ones stand empty. So the choice is among as many as have
// room for what is unseen, by their room: then each gets its part of that.
func (f *Fleet) firstWithRoom(q Query, g *group, indices []int32, now time.Time) *state {
	if len(indices) == 0 {
		return nil
	}
	var o placement.Ranker
	weights := g.states[indices[0]].version(q.Model)
	hash := prefix.NameHash(q.Model + " " + strconv.FormatInt(weights, 10))
	level := []prefix.Boundary{{Hash: hash}}
	var begun, empty []roomy
	for _, i := range o.Rank(g.placed, indices, level, nil, len(indices)) {
		s := g.states[i]
		full := math.Floor(denseShare * float64(s.runner.Slots))
		if !f.packable(q, full, now) {
			return nil
		}
		long := s.sum(now).Long
		room := min(full-float64(long), f.memoryRoom(q, s.sum(now)))
		switch {
		case room <= 0 || f.queueWait(s, now) > 0:
		case long > 0:
			begun = append(begun, roomy{s, room})
		default:
			empty = append(empty, roomy{s, room})
		}
	}
	return pickRoomy(append(begun, empty...), f.roomNeeded(q, now))
}

// roomNeeded returns for how many long runs there must be room among the runners
// that one is sent to: as many as come unseen, or one of each process, before it is
// known how many come.
func (f *Fleet) roomNeeded(q Query, now time.Time) float64 {
	unseen := f.engine(q.Service).OfferedLoad(now).LongRate * f.unseenFor().Seconds()
	return max(float64(f.members.count()), 1+unseenSpread*unseen)
}

// unseenSpread is how many times the room for what is unseen is chosen among: as
// much again, as arrivals in so short a time vary by their own number.
const unseenSpread = 2

// roomy is a runner with room for more long runs.
type roomy struct {
	state *state
	room  float64
}

// pickRoomy picks among the first that together have the room that is needed, each
// as often as its room says; nil where there are none.
func pickRoomy(all []roomy, needed float64) *state {
	sum, n := 0.0, 0
	for n < len(all) && sum < needed {
		sum += all[n].room
		n++
	}
	at := rand.Float64() * sum
	for _, r := range all[:n] {
		if at -= r.room; at < 0 {
			return r.state
		}
	}
	return nil
}
