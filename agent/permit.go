package agent

import (
	"context"
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/ledger"
	"acaciakeel/refusal"
	"acaciakeel/store"
)

// permit decides whether a call may be sent: with a claim, whose revision it returns,
// or without one if the key provably cannot have run before. docs/design/calls-once.md
// gives the reason for each case.
func (c *callExecutor) permit(ctx context.Context, req *keelv1.CallRequest, key ledger.Key, record *ledger.Record) (store.Position, claim, *refusal.Error) {
	if req.FreshKey {
		// The entry generated this key and no client has it. The entry sends the call
		// again only after a refusal with the outcome "not run".
		c.setGeneratedKey(record, callTimeout(req)+outcomeQueryTime)
		return 0, claim{}, nil
	}
	made, carriesTime := ledger.KeyTime(key.IdempotencyKey)
	home, since := c.homeStatus(key)
	provable := carriesTime && home && c.freshness(since).ProvesNew(made, time.Now())
	if carriesTime && !home {
		return 0, claim{}, notHomeRefusal()
	}
	if carriesTime && !provable {
		return 0, claim{}, refusal.NewUnknown("the key is older than the agent's process, or its clock is off; an earlier process may have run it")
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if !carriesTime && c.claimsUnsettled(home, since) {
		holder, r := c.refuseUnsettled(ctx, key)
		return 0, holder, r
	}
	result, holder, revision := c.claims.make(ctx, key, c.wasNotSent(record))
	c.metrics.claimWrites.WithLabelValues(string(result)).Inc()
	c.noticeHistory(revision.History(), time.Now())
	switch {
	case result == claimOwned && !carriesTime && c.claimsUnsettled(home, since):
		// The claim has shown that the history was replaced.
		c.claims.release(ctx, key, revision)
		return 0, claim{}, claimsLostRefusal()
	case result == claimOwned:
		c.setClaimed(record, revision)
		return revision, claim{}, nil
	case result == claimHeldElsewhere && holder.Target == c.claims.self.Target:
		return 0, claim{}, refusal.NewUnknown("this agent had the call before and has lost its answer")
	case result == claimHeldElsewhere:
		return 0, holder, heldElsewhereRefusal()
	case carriesTime && c.remembers(since).ProvesNew(made, time.Now()):
		c.metrics.calls.WithLabelValues("provably_new").Inc()
		return 0, claim{}, nil
	}
	return 0, claim{}, c.platformDownRefusal(home, since)
}

// freshness tells which keys no earlier process can have had.
func (c *callExecutor) freshness(since time.Time) ledger.Freshness {
	if c.started.After(since) {
		since = c.started
	}
	return ledger.Freshness{StartTime: since, ClockMargin: c.margin}
}

// remembers tells which keys belong to no call that this process has forgotten either. Such calls
// have claims, so that it matters only while claims can't be made.
func (c *callExecutor) remembers(since time.Time) ledger.Freshness {
	f := c.freshness(since)
	c.mu.Lock()
	defer c.mu.Unlock()
	if forgotten := c.ledger.ForgottenUntil(); forgotten.After(f.StartTime) {
		f.StartTime = forgotten
	}
	return f
}

// refusalOfCall returns a refusal that was decided without a claim as the outcome of the call. Of
// keys that carry a time, this process tells whether an earlier send may have run; of others, the
// entry takes that for possible.
func (c *callExecutor) refusalOfCall(r *refusal.Error, req *keelv1.CallRequest, key ledger.Key) *refusal.Error {
	made, carriesTime := ledger.KeyTime(key.IdempotencyKey)
	if req.FreshKey || !carriesTime {
		return r
	}
	if home, since := c.homeStatus(key); home && c.remembers(since).ProvesNew(made, time.Now()) {
		return r
	}
	unknown := *r
	unknown.Outcome = refusal.Unknown
	return &unknown
}

func notHomeRefusal() *refusal.Error {
	r := refusal.NewUnknown("this agent is not the home of the key")
	r.Kind = refusal.NotOwner
	return r.WithRetryAfter(time.Second)
}

// platformDownRefusal returns the refusal for a call that cannot be claimed. Its
// outcome is "not run" only at the key's home, and only if this process has been the
// home for longer than clientRetryWindow, so that no earlier process can have run the
// call that the client now repeats.
func (c *callExecutor) platformDownRefusal(home bool, since time.Time) *refusal.Error {
	r := refusal.New(refusal.PlatformDown,
		"come back after the time in Retry-After with the same key, or use UUIDv7 keys, which are served during an outage",
		"the platform's service is down and the key can't be proved new").WithRetryAfter(platformRetryAfter)
	if !home || time.Since(c.remembers(since).StartTime) < clientRetryWindow {
		r.Outcome = refusal.Unknown
	}
	return r
}

// clientRetryWindow is the time within which clients may repeat a call.
const clientRetryWindow = 5 * time.Minute

// platformRetryAfter is the Retry-After time while the platform's service is down.
const platformRetryAfter = 2 * time.Second

// wasNotSent reports whether an earlier attempt at a call ended here without sending it.
func (c *callExecutor) wasNotSent(record *ledger.Record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return record.NotSent
}

// setClaimed records the position of a call's claim, which another call may meanwhile have found to
// be of an earlier history; 0 is none.
func (c *callExecutor) setClaimed(record *ledger.Record, position store.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := position != 0 && position.History() < c.history
	record.Claimed, record.ClaimLost = position != 0 && !lost, lost
}

// outcomeQueryTime is how long after the call's timeout an entry asks for the outcome of a call whose
// answer it has lost.
const outcomeQueryTime = 10 * time.Second

func (c *callExecutor) setGeneratedKey(record *ledger.Record, minRetention time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record.GeneratedKey, record.MinRetention = true, minRetention
}

func (c *callExecutor) releaseClaim(ctx context.Context, key ledger.Key, record *ledger.Record, revision store.Position) {
	if revision == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c.setClaimed(record, 0)
	c.claims.release(ctx, key, revision)
}

func heldElsewhereRefusal() *refusal.Error {
	r := refusal.NewUnknown("another agent has this call")
	r.Kind = refusal.HeldElsewhere
	return r
}
