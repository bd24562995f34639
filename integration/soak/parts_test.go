package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

const (
	// badPart is the ID of a prompt part that crashes targets, badPartID begins the IDs of the
	// requests that have it.
	badPart   = "bad0"
	badPartID = "part-"
	// partSeconds is how long a seed is played.
	partSeconds = 12
	// partCrashes is the number of crashes from which on the bound holds: no more than partSends
	// requests with the part reach targets later than partGrace after it.
	partCrashes = 5
	partSends   = 3
	partGrace   = 3 * time.Second
)

// Guards against a prompt part that crashes target after target, beside entries that are killed
// and have to learn what the others know.
func TestSoakParts(t *testing.T) {
	seeds := []uint64{1}
	if n := number("SOAK_SEED", 0); n != 0 {
		seeds = []uint64{uint64(n)}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, regression{seed: seed, faults: append(deadlyFaults(), allEntriesKilled), seconds: partSeconds, direct: seed%2 == 1, badPart: true})
		})
	}
}

// promptParts returns the parts of a request's prompt.
func promptParts(id string, thing int) string {
	bad := ""
	if strings.HasPrefix(id, badPartID) {
		bad = badPart + ":300,"
	}
	return fmt.Sprintf("aa:800,%sb%d:1200,c%s:1000", bad, thing, id)
}

// sendBadPart sends requests with the bad part, no two alike, at random entries.
func (c *callers) sendBadPart(seed uint64) {
	for _, tg := range c.site.runners {
		tg.CrashOnPart(badPart, deadlyAfter, deadlyDown)
	}
	c.done.Add(1)
	go c.keepSending(c.stop, rand.New(rand.NewPCG(seed, 1<<34)), func(random *rand.Rand) {
		time.Sleep(time.Duration(random.Int64N(int64(deadlyEvery))))
		e := c.site.anyEntry(random)
		c.sendAs(e, "match", c.newID(badPartID, e), random.IntN(12))
	})
}

// wasCalm reports whether an entry ran undisturbed for the grace period before a moment.
func (e *entry) wasCalm(at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !slices.ContainsFunc(e.disturbed, func(when time.Time) bool { return when.Before(at) && at.Sub(when) < partGrace })
}

// judgeBadPart: entries send the part to no more targets than the bound allows. It binds those
// that were not killed, stopped or started in the grace period before.
func (c *callers) judgeBadPart() {
	crashes := runner.CrashTimes(c.site.allRunners())
	late, lateInAll, ran := 0, 0, 0
	for _, tg := range c.site.runners {
		for _, s := range tg.Seen() {
			if !s.Ran || !runner.HasPart(s.Header, badPart) {
				continue
			}
			ran++
			if len(crashes) < partCrashes || s.At.Sub(crashes[partCrashes-1]) <= partGrace {
				continue
			}
			lateInAll++
			c.mu.Lock()
			sender := c.sentTo[s.ID]
			c.mu.Unlock()
			if sender != nil && sender.wasCalm(s.At) {
				late++
			}
		}
	}
	c.site.t.Logf("%d targets crashed under one part, %d requests with it ran, %d too late, %d of them from calm entries", len(crashes), ran, lateInAll, late)
	if late > partSends {
		c.violate("%d requests with the bad part reached targets later than %s after crash %d; %d crashed in all", late, partGrace, partCrashes, len(crashes))
	}
}
