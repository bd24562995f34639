package agent

import (
	"context"
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
)

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
