package fleet

import (
	"math"
	"time"

	"acaciakeel/policy"
)

// HeldTokens returns how many tokens of a target's memory a run holds that it is taken to
// have cached some of its prompt for: of what was cached about half is held by other runs
// at the same time, and a run is on average half through its output.
func HeldTokens(input, cached, output int) int {
	return input - cached/2 + output/2
}

// memoryWait returns how long a run that will hold so many tokens is expected to wait at a
// target with a load until there is memory for it: what is held is given back evenly over
// the time that runs hold theirs.
func (f *Fleet) memoryWait(q Query, load Occupancy, needs int, now time.Time) time.Duration {
	over := load.Held + needs - q.Capacity
	if q.Capacity <= 0 || over <= 0 || load.Held <= 0 || f.off[policy.Memory] {
		return 0
	}
	return time.Duration(float64(over) / float64(load.Held) * float64(f.engine(q.Service).HeldFor()))
}

// memoryShare is the part of a target's memory that long runs may fill where they are
// packed: the rest is for the parts that they share.
const memoryShare = 0.9

// memoryRoom returns for how many more runs like this one a target has memory.
func (f *Fleet) memoryRoom(q Query, load Occupancy) float64 {
	if q.Capacity <= 0 || f.off[policy.Memory] {
		return math.Inf(1)
	}
	return (memoryShare*float64(q.Capacity) - float64(load.Held)) / float64(max(1, HeldTokens(q.Input, 0, q.Output)))
}
