package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

// Guards against late second responses of targets that count as the answer to the request that
// waits on their connection, beside refusals, entries that end and new weights.
func TestSoakLate(t *testing.T) {
	seeds := []uint64{1, 2}
	if n := number("SOAK_SEED", 0); n != 0 {
		seeds = []uint64{uint64(n)}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, regression{seed: seed, faults: lateFaults(), direct: true})
		})
	}
}

// sendsLate has a target repeat its last response before every third one on a connection.
var sendsLate = fault{"target sends late responses", func(b *breaker) (time.Duration, func()) {
	tg := b.target()
	tg.SendLate(3)
	return time.Second + b.upTo(2*time.Second), func() { tg.SendLate(0) }
}}

// repeatsRefusals has a target refuse requests, then run the next ones and repeat the refusals
// ahead of their responses.
var repeatsRefusals = fault{"target repeats refusals", func(b *breaker) (time.Duration, func()) {
	tg := b.target()
	tg.SetFault(runner.Shed)
	return b.upTo(300 * time.Millisecond), func() {
		tg.SendLate(1)
		tg.SetFault(runner.None)
		time.AfterFunc(300*time.Millisecond, func() { tg.SendLate(0) })
	}
}}

func lateFaults() []fault {
	byName := func(f fault) bool {
		return slices.Contains([]string{"entry killed", "entry paused", "entry stopped and started", "new weights", "new configuration", "target reborn"}, f.name)
	}
	chosen := slices.DeleteFunc(slices.Clone(allFaults), func(f fault) bool { return !byName(f) })
	for range 3 {
		chosen = append(chosen, sendsLate, repeatsRefusals, repeatsRefusals, repeatsRefusals, spoil(runner.Failing))
	}
	return chosen
}
