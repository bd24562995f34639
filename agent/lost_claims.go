package agent

import (
	"context"
	"errors"
	"slices"
	"time"

	"acaciakeel/ledger"
	"acaciakeel/refusal"
	"acaciakeel/store"
)

const (
	// putBackTime is how long after a replaced history agents put the lost claims of their calls
	// back: a watch of 2 s until each has noticed, and the time for putBackPerSweep a second.
	putBackTime = 15 * time.Second
	// putBackPerSweep is how many claims an agent puts back in each sweep, so that all agents
	// together do not overload a service that has just come back.
	putBackPerSweep = 100
	// verifyInterval is the interval at which an agent looks for its latest claim while callers may
	// still repeat that call. Not every agent watches the service, which does not always show that
	// its history was replaced.
	verifyInterval = 2 * time.Second
)

// keptLatest is how many of the latest claims are remembered, since some are released.
const keptLatest = 8

// addLatest records a claim that was made.
func (c *claimStore) addLatest(made claimedCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.latest) == keptLatest {
		c.latest = slices.Delete(c.latest, 0, 1)
	}
	c.latest = append(c.latest, made)
	if c.probe.position == 0 || c.probe.key == made.key {
		c.probe = made
	}
	if c.verifying.key == made.key {
		c.verifying = claimedCall{}
	}
}

// forget ends the verification of a claim that is about to be released.
func (c *claimStore) forget(k ledger.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest = slices.DeleteFunc(c.latest, func(made claimedCall) bool { return made.key == k })
	if c.probe.key == k {
		c.probe = c.last()
	}
	if c.verifying.key == k {
		c.verifying = claimedCall{}
	}
}

// last returns the latest claim, if there is one. The caller holds mu.
func (c *claimStore) last() claimedCall {
	if len(c.latest) == 0 {
		return claimedCall{}
	}
	return c.latest[len(c.latest)-1]
}

// dueForVerification returns the claim that is to be looked for now, if there is one. It was made
// before the last time: a later one may have been made since the history was replaced. One that may
// have expired shows nothing.
func (c *claimStore) dueForVerification(now time.Time) (claimedCall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.verifiedAt) < verifyInterval {
		return claimedCall{}, false
	}
	due := c.probe
	c.verifiedAt, c.verifying, c.probe = now, due, c.last()
	return due, due.position != 0 && now.Sub(due.madeAt) <= min(clientRetryWindow, c.ttl/2)
}

// isHeld reports whether the claim that is being looked for was neither released nor written again.
func (c *claimStore) isHeld(made claimedCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.verifying == made
}

// historyAdvancer is implemented by clients that number the histories of the platform's service.
type historyAdvancer interface {
	AdvanceHistory(number int)
}

// verifyClaims looks for the latest claim. Nobody deletes claims that are not released, and they
// expire after much longer; one that is missing is gone with the copy from which the service came
// back.
func (c *callExecutor) verifyClaims(ctx context.Context, now time.Time) {
	made, due := c.claims.dueForVerification(now)
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	found, position, err := c.claims.read(ctx, made.key)
	c.noticeHistory(position.History(), now)
	lost := errors.Is(err, store.ErrNotFound) || err == nil && found != made.claim
	if !lost || !c.claims.isHeld(made) {
		return
	}
	next := made.position.History() + 1
	if client, ok := c.claims.store.(historyAdvancer); ok && next <= store.MaxHistory {
		client.AdvanceHistory(next)
	}
	c.noticeHistory(next, now)
}

// noticeHistory records the number of the history of the platform's service and when it began. In a
// later one, the claims that were made since the copy are gone.
func (c *callExecutor) noticeHistory(number int, began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number <= c.history {
		return
	}
	if began.IsZero() {
		began = time.Now()
	}
	c.history, c.replacedAt = number, began
	c.ledger.LoseClaims()
}

// claimsUnsettled reports whether a call whose claim is not found may have run with a claim that is
// gone with the copy. Until putBackTime, its owner may not have put it back. After that the owner is
// dead, and within the time in which clients repeat calls only the key's home tells whether it was
// the owner itself.
func (c *callExecutor) claimsUnsettled(home bool, since time.Time) bool {
	c.mu.Lock()
	replacedAt := c.replacedAt
	c.mu.Unlock()
	if replacedAt.IsZero() {
		return false
	}
	elapsed := time.Since(replacedAt)
	remembers := home && time.Since(c.remembers(since).StartTime) >= clientRetryWindow
	return elapsed < putBackTime || elapsed < clientRetryWindow && !remembers
}

// refuseUnsettled refuses a call that may have run with a lost claim, and names the owner if its
// claim is there. It makes no claim, which would stand in the way of the owner's.
func (c *callExecutor) refuseUnsettled(ctx context.Context, key ledger.Key) (holder claim, r *refusal.Error) {
	found, _, err := c.claims.read(ctx, key)
	switch {
	case err != nil:
		return claim{}, claimsLostRefusal()
	case found.Target == c.claims.self.Target:
		return claim{}, refusal.NewUnknown("this agent had the call before and has lost its answer")
	}
	return found, heldElsewhereRefusal()
}

func claimsLostRefusal() *refusal.Error {
	r := refusal.New(refusal.PlatformDown,
		"come back after the time in Retry-After with the same key, or use UUIDv7 keys, which are not affected",
		"the platform's service was restored from an older copy; another agent may have run the call").WithRetryAfter(platformRetryAfter)
	r.Outcome = refusal.Unknown
	return r
}

// claimUnclaimed claims the calls that run or ran without a claim because the platform's service was
// down or has lost it. It stops at the first failure; the next sweep tries again.
func (c *callExecutor) claimUnclaimed(ctx context.Context) {
	c.mu.Lock()
	keys := c.ledger.Unclaimed()
	c.mu.Unlock()
	for _, key := range keys[:min(len(keys), putBackPerSweep)] {
		result, _, revision := c.claims.make(ctx, key, true)
		if result == claimFailed {
			return
		}
		c.noticeHistory(revision.History(), time.Now())
		c.markClaimed(key, result, revision)
	}
}

// markClaimed records that a call's claim was put back. A claim of an earlier history was not. Another
// agent's claim may be one that it has made to learn of the replaced history and releases again.
func (c *callExecutor) markClaimed(key ledger.Key, result claimResult, position store.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if result == claimOwned && position.History() < c.history {
		return
	}
	if result == claimHeldElsewhere && !c.replacedAt.IsZero() && time.Since(c.replacedAt) < putBackTime {
		return
	}
	c.ledger.MarkClaimed(key)
}
