package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

// Figures of names in series.
const (
	// weightsBoundMS is for how long after newer weights were acknowledged a request
	// may begin on older ones.
	weightsBoundMS = 5000
	// weightsSeconds is how long a seed is played: bounds and more pass within.
	weightsSeconds = 14
	// loadMost is the longest load, slowPace the pause between the events of a stream:
	// a run holds its slot for two seconds, and an order waits for it.
	loadMost = 1200 * time.Millisecond
	slowPace = 350 * time.Millisecond
	// slots is how many requests a target runs at once; others wait there.
	slots = 2
	// longestNaming bounds the pause between two names.
	longestNaming = 1800 * time.Millisecond
)

// TestSoakWeights names weights in series, faster than they can be in force everywhere,
// beside faults of targets, orders and entries. No request may begin on weights that
// were replaced for longer than the bound. Ways are cut but never fall silent: a target
// would not hear that a request is taken back.
func TestSoakWeights(t *testing.T) {
	// An entry that was killed and started while weights rolled out took them for good
	// for two seconds from then on.
	seeds := []uint64{1}
	if n := number("SOAK_SEED", 0); n != 0 {
		seeds = []uint64{uint64(n)}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, regression{seed: seed, faults: weightsFaults(), versionMS: weightsBoundMS, seconds: weightsSeconds})
		})
	}
}

// loading has the targets take their time.
func (s *site) loading(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1<<34))
	for _, r := range s.runners {
		r.SetLoading(time.Duration(random.Int64N(int64(loadMost))), slots)
		r.SetPace(slowPace)
	}
}

func weightsFaults() []fault {
	byName := func(f fault) bool {
		return slices.Contains([]string{"target cut", "target refuses", "target slow", "entry killed", "entry stopped and started", "target reborn", "targets reborn at an order"}, f.name)
	}
	chosen := slices.DeleteFunc(slices.Concat(faults, rebirths), func(f fault) bool { return !byName(f) })
	return append(chosen, namesInSeries, namesInSeries, badOrders(runner.DeafToOrders), badOrders(runner.LateOrders), newConfiguration)
}

// namesInSeries names some versions one after the other.
var namesInSeries = fault{"names in series", func(b *breaker) (time.Duration, func()) {
	for range 2 + b.random.IntN(4) {
		b.site.nameWeights()
		time.Sleep(b.upTo(longestNaming))
	}
	return 0, nil
}}

// badOrders has some targets not answer their orders for a while.
func badOrders(kind runner.Fault) fault {
	return fault{"orders " + string(kind), func(b *breaker) (time.Duration, func()) {
		r := b.runner()
		r.SetFault(kind)
		return b.upTo(4 * time.Second), func() { r.SetFault(runner.None) }
	}}
}

// judgeWeights holds the beginning of each run against the names.
func (c *callers) judgeWeights(bound time.Duration) {
	began := 0
	for _, tg := range c.site.runners {
		for _, s := range tg.Seen() {
			if s.Began.IsZero() {
				continue
			}
			began++
			named, replaced := c.site.replacedAt(s.BeganOn)
			if late := s.Began.Sub(named); replaced && late > bound {
				c.violate("%s began at %s on weights %d, %v after newer ones were named", s.ID, tg.ID, s.BeganOn, late)
			}
		}
	}
	if began == 0 {
		c.violate("no request began")
	}
}

// replacedAt returns when weights newer than a version were named first.
func (s *site) replacedAt(version int64) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Weights 1 were never named; the first name is of 2.
	next := int(version) - 1
	if next < 0 || next >= len(s.named) {
		return time.Time{}, false
	}
	return s.named[next], true
}
