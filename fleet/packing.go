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

// Costs and bounds of packing long runs.
const (
	// packedSlotShare is the fraction of a target's slots that long runs fill before the
	// next target gets some; the rest is for short runs that share its cached prompts.
	// The fewer targets hold long runs, the more memory is left to prompts.
	packedSlotShare = 0.9
	// longNeighbourCost is the cost of placing a short run with a long prompt beside one
	// long run, whose events are late while the prompt is prefilled. maxLongNeighbourCost
	// bounds the sum.
	longNeighbourCost    = 5 * time.Millisecond
	maxLongNeighbourCost = 300 * time.Millisecond
)

// choosePacked packs long runs onto few targets. A batch decodes many runs in about the
// time of one, so that packing costs little. A target without long runs has finished its
// requests within a second once it is to load other weights; with a few long runs it
// would be nearly idle for seconds. All processes fill the targets in the same order,
// which changes with the weights, so that targets that still finish old runs get no new
// ones. It returns nil if all are filled or if such runs don't pack.
func (f *Fleet) choosePacked(q Query, g *group, indices []int32, now time.Time) *targetState {
	newest := f.desired[q.Model].newest()
	for _, current := range []bool{true, false} {
		var group []int32
		for _, i := range indices {
			if (g.states[i].version(q.Model) >= newest) == current {
				group = append(group, i)
			}
		}
		if s := f.packedTarget(q, g, group, now); s != nil {
			return s
		}
	}
	return nil
}

// packedTarget picks among the first targets of the order that have long runs and room
// for more, followed by the first that have none. During a rollout the head of the order
// changes with every target that has loaded its weights; the order alone would spread the
// runs.
//
// With a hundred processes, as many runs as several targets hold are placed before the
// processes learn of each other's choices. If all went to the first target with room, its
// queue would overflow while the next ones are empty. So the pick is among as many
// targets as have room for these runs, weighted by their room.
func (f *Fleet) packedTarget(q Query, g *group, indices []int32, now time.Time) *targetState {
	if len(indices) == 0 {
		return nil
	}
	var o placement.Ranker
	weights := g.states[indices[0]].version(q.Model)
	hash := prefix.NameHash(q.Model + " " + strconv.FormatInt(weights, 10))
	level := []prefix.Boundary{{Hash: hash}}
	var begun, empty []targetRoom
	for _, i := range o.Rank(g.candidates, indices, level, nil, len(indices)) {
		s := g.states[i]
		full := math.Floor(packedSlotShare * float64(s.target.Slots))
		if !f.packable(q, full, now) || f.packedRuns(q, usualPace, full, now) < minPackedShare*full {
			return nil
		}
		long := s.totalOccupancy(now).Long
		room := min(f.packedRuns(q, f.pace(s, now), full, now)-float64(long), f.memoryRoom(q, s.totalOccupancy(now)))
		switch {
		case room <= 0 || f.queueWait(q, s, now) > 0:
		case long > 0:
			begun = append(begun, targetRoom{s, room})
		default:
			empty = append(empty, targetRoom{s, room})
		}
	}
	return pickByRoom(append(begun, empty...), f.requiredRoom(q, now), f.random())
}

// packedRuns returns how many long runs a target may hold, at most full. Where streams have a
// bound, it is the number whose prompts are prefilled in so short a time that no more of them
// than tolerated arrive during one pause than fit into the bound.
func (f *Fleet) packedRuns(q Query, pace Pace, full float64, now time.Time) float64 {
	if q.MaxEventGap <= 0 || f.disabled[policy.EventPauses] {
		return full
	}
	if pace.Slowdown >= minSharedSlowdown {
		return 0
	}
	e := f.engine(q.Service)
	held, _ := e.ExpectedSlotHold(q.MaxOutputTokens)
	idle, _ := e.ExpectedPause(forecast.PauseSample{Running: int(full)}, now)
	// A run takes seconds, so it has to be on time also while the target is slowed down.
	slowest := max(pace.Slowdown, f.speeds(q.Service).worstSlowdown(now))
	fits := q.MaxEventGap.Seconds()/(pace.Duration*slowest) - idle.Seconds()
	prefill := e.PrefillTime(q.InputTokens, q.InputTokens, now).Seconds()
	if fits <= 0 || prefill <= 0 {
		return 0
	}
	arrivals := toleratedMean(fits / prefill)
	return min(full, math.Floor(arrivals/q.MaxEventGap.Seconds()*held.Seconds()*pace.Duration))
}

// latePauseDeviations is by how many standard deviations more arrivals than the mean must fit
// into a pause. Then under one in a hundred such periods has more, and a stream of two seconds
// has several of them.
const latePauseDeviations = 3

// toleratedMean returns the mean of a Poisson distribution of which a number is
// latePauseDeviations above.
func toleratedMean(number float64) float64 {
	root := (math.Sqrt(latePauseDeviations*latePauseDeviations+4*number) - latePauseDeviations) / 2
	return root * root
}

// minPackedShare is the part of the usual number of runs that a target must be able to hold:
// with less, packing frees so few targets of long runs that it is not worth the longer pauses.
const minPackedShare = 0.5

// requiredRoom returns for how many long runs the targets picked from must have room: for
// those placed before this process learns of them, and for at least one of each process,
// as their rate may not be known yet.
func (f *Fleet) requiredRoom(q Query, now time.Time) float64 {
	unseen := f.engine(q.Service).OfferedLoad(now).LongRate * f.propagationDelay().Seconds()
	return max(float64(f.members.count()), 1+unseenRoomFactor*unseen)
}

// unseenRoomFactor is the multiple of the unknown runs for which there must be room: the
// number of arrivals in so short a time varies by about as much again.
const unseenRoomFactor = 2

// targetRoom is a target with room for more long runs.
type targetRoom struct {
	state *targetState
	room  float64
}

// pickByRoom picks a target at random, weighted by room, among the first that together
// have the needed room; nil if there are none. random is uniform in [0, 1).
func pickByRoom(all []targetRoom, needed, random float64) *targetState {
	sum, n := 0.0, 0
	for n < len(all) && sum < needed {
		sum += all[n].room
		n++
	}
	at := random * sum
	for _, r := range all[:n] {
		if at -= r.room; at < 0 {
			return r.state
		}
	}
	return nil
}
