package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

// Guards against truncated responses that reach clients as complete, by any framing, beside
// entries that are killed, paused and stopped and targets that restart.
func TestSoakTruncation(t *testing.T) {
	seeds := []uint64{1, 2}
	if n := number("SOAK_SEED", 0); n != 0 {
		seeds = []uint64{uint64(n)}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, regression{seed: seed, faults: truncationFaults(), direct: true, framings: true})
		})
	}
}

// mixFramings gives each target another framing than the next one; half of them use none.
func (s *site) mixFramings() {
	framings := []runner.Framing{runner.UntilClose, runner.Chunked, runner.UntilClose, runner.Sized}
	for _, group := range [][]*target{s.runners, s.desks} {
		for i, tg := range group {
			tg.SetFraming(framings[i%len(framings)])
			tg.CrashOn("", 0, truncationDowntime)
		}
	}
}

// truncationDowntime is how long a target is down that crashes in a response.
const truncationDowntime = 400 * time.Millisecond

// truncated has a target break off the next response that it begins.
func truncated(how runner.Truncation) fault {
	return fault{fmt.Sprintf("response truncated %s by %s", how.At, how.By), func(b *breaker) (time.Duration, func()) {
		tg := b.target()
		if how.By == runner.ByClose {
			// Of a plain response without framing, that is the end.
			tg = b.runner()
		}
		runner.TruncateNext([]*runner.Runner{tg.Runner}, how)
		return 0, nil
	}}
}

func truncationFaults() []fault {
	byName := func(f fault) bool {
		return slices.Contains([]string{"entry killed", "entry paused", "entry stopped and started", "new weights", "new configuration", "target reborn", "target " + string(runner.Broken), "target " + string(runner.Shed)}, f.name)
	}
	chosen := slices.DeleteFunc(slices.Clone(allFaults), func(f fault) bool { return !byName(f) })
	chosen = append(chosen, truncated(runner.Truncation{At: runner.InsideEvent, By: runner.ByClose}), truncated(runner.Truncation{At: runner.BeforeBody, By: runner.ByClose}))
	for _, at := range []runner.TruncationPoint{runner.InsideEvent, runner.BetweenEvents, runner.BeforeBody} {
		for range 2 {
			chosen = append(chosen, truncated(runner.Truncation{At: at, By: runner.ByReset}), truncated(runner.Truncation{At: at, By: runner.ByCrash}))
		}
	}
	for _, end := range []runner.EarlyEnd{runner.EarlyReset, runner.EarlyUnread, runner.EarlyHalfClose} {
		chosen = append(chosen, answeredEarly(end), answeredEarly(end))
	}
	return chosen
}

// answeredEarly has a target answer the next request with a large body before it has read that, and
// break the answer off.
func answeredEarly(end runner.EarlyEnd) fault {
	return fault{fmt.Sprintf("response early and cut by %s", end), func(b *breaker) (time.Duration, func()) {
		runner.AnswerEarlyNext([]*runner.Runner{b.target().Runner}, end)
		return 0, nil
	}}
}

const (
	// largeID begins the IDs of requests with a body that takes time to send.
	largeID = "large-"
	// largeEvery is the longest time between two of them.
	largeEvery = 150 * time.Millisecond
)

// sendLarge sends requests with large bodies, at random entries.
func (c *callers) sendLarge(seed uint64) {
	c.done.Add(1)
	go c.keepSending(c.stop, rand.New(rand.NewPCG(seed, 1<<35)), func(random *rand.Rand) {
		time.Sleep(time.Duration(random.Int64N(int64(largeEvery))))
		e := c.site.anyEntry(random)
		routes := []string{"hold", "stock", "match", "draft"}
		c.sendAs(e, routes[random.IntN(len(routes))], c.newID(largeID, e), random.IntN(12))
	})
}

// answeredEarly returns how many requests were answered before their body was read.
func (s *site) answeredEarly() int {
	n := 0
	for _, tg := range s.targets() {
		for _, seen := range tg.Seen() {
			if seen.Unread {
				n++
			}
		}
	}
	return n
}
