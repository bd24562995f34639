package soak

import (
	"fmt"
	"slices"
	"testing"

	"acaciakeel/internal/standin/runner"
)

// Guards against responses that the protocol does not allow and that reach clients as answers, or are
// believed as refusals, beside entries that end and targets that restart.
func TestSoakMalformed(t *testing.T) {
	seeds := []uint64{1}
	if n := number("SOAK_SEED", 0); n != 0 {
		seeds = []uint64{uint64(n)}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, regression{seed: seed, faults: malformedFaults(), direct: true})
		})
	}
}

func malformedFaults() []fault {
	byName := func(f fault) bool {
		return slices.Contains([]string{"entry killed", "entry paused", "new configuration", "target reborn", "target " + string(runner.Shed)}, f.name)
	}
	chosen := slices.DeleteFunc(slices.Clone(allFaults), func(f fault) bool { return !byName(f) })
	for _, kind := range []runner.Fault{
		runner.MalformedStatus, runner.MalformedName, runner.MalformedLength, runner.MalformedInterim, runner.MalformedTrailer, runner.MalformedRefusal,
	} {
		chosen = append(chosen, spoil(kind), spoil(kind))
	}
	return chosen
}
