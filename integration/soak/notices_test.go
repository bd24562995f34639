package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Figures of what targets say of themselves.
const (
	// noticeSeconds is how long a seed is played: limits settle and are kept within.
	noticeSeconds = 14
	// limitSettles is how long after it was named a limit binds, drainBound how long
	// after it was told so an entry may send to a target that leaves.
	limitSettles = 3 * time.Second
	drainBound   = 2 * time.Second
	// namedMost bounds a limit, in requests a second, and restMost a rest.
	namedMost = 4
	restMost  = 4 * time.Second
)

// Guards against targets' words on themselves that are broken beside other faults.
func TestSoakNotices(t *testing.T) {
	// 24: names of weights beside rests, so that targets turn away by 421 what they would
	// by 503.
	seeds := []uint64{1, 24}
	if n := number("SOAK_SEED", 0); n != 0 {
		seeds = []uint64{uint64(n)}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, regression{seed: seed, faults: noticeFaults(), seconds: noticeSeconds})
		})
	}
}

// noticeFaults delay answers but lose none: an entry would not have been told.
func noticeFaults() []fault {
	byName := func(f fault) bool {
		return slices.Contains([]string{"target slow", "store away from one", "store away from all", "entry killed", "entry paused", "entry stopped and started", "new weights"}, f.name)
	}
	chosen := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !byName(f) })
	return append(chosen, namedLimit, namedLimit, namedLimit, restAsked, restAsked, leaving, leaving)
}

// namedLimit has a target name a limit for a while. The last word on it is the one that
// counts, so that two of them may overlap.
var namedLimit = fault{"target names a limit", func(b *breaker) (time.Duration, func()) {
	tg, rate := b.target(), 0.5+b.random.Float64()*namedMost
	tg.NameLimit(fmt.Sprint(rate), rate)
	return limitSettles + b.upTo(6*time.Second), func() {
		for _, broken := range tg.OverLimit(b.callers.sender, limitSettles) {
			b.callers.violate("%s", broken)
		}
		tg.NameLimit("", 0)
	}
}}

var restAsked = fault{"target asks for rest", func(b *breaker) (time.Duration, func()) {
	tg := b.target()
	tg.ShedFor(time.Second + b.upTo(restMost))
	return b.upTo(restMost), func() { tg.ShedFor(0) }
}}

// leaving has a target leave by its own word, and start again under its id.
var leaving = fault{"target leaves", func(b *breaker) (time.Duration, func()) {
	tg := b.target()
	tg.Leave()
	return drainBound + b.upTo(3*time.Second), func() { tg.Reborn() }
}}

// sender names the entry that a request went to, since it was last disturbed.
func (c *callers) sender(id string, at time.Time) string {
	c.mu.Lock()
	e := c.sentTo[id]
	c.mu.Unlock()
	if e == nil {
		return id
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, when := range e.disturbed {
		if when.Before(at) {
			n++
		}
	}
	return fmt.Sprintf("%s after disturbance %d", e.name, n)
}

// judgeNotices holds what targets got against what they had said of themselves.
func (c *callers) judgeNotices() {
	for _, tg := range c.site.targets() {
		for _, broken := range slices.Concat(tg.AfterLeaving(c.sender, drainBound), tg.WithinRest(c.sender)) {
			c.violate("%s", broken)
		}
	}
}
