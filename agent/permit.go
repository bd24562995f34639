package agent

import (
	"context"
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/ledger"
	"acaciakeel/refusal"
)

// permit decides whether the call may be sent: by a claim, whose revision it
// returns, or without one where the key provably can't have run before.
// docs/design/calls-once.md says why each case holds.
func (c *caller) permit(ctx context.Context, req *keelv1.CallRequest, key ledger.Key, record *ledger.Record) (int64, claim, *refusal.Error) {
	if req.FreshKey {
		// No caller has this key, and its entry sends again only after a
		// truthful "not run".
		c.setUnrepeatable(record)
		return 0, claim{}, nil
	}
	made, carriesTime := ledger.KeyTime(key.IdempotencyKey)
	home, since := c.home(key)
	provable := carriesTime && home && c.freshness(since).ProvesNew(made, time.Now())
	if carriesTime && !home {
		return 0, claim{}, notHome()
	}
	if carriesTime && !provable {
		return 0, claim{}, refusal.NewUnknown("the key is older than the agent's process, or its clock is off; an earlier process may have run it")
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result, holder, revision := c.claims.make(ctx, key)
	c.metrics.claimWrites.WithLabelValues(string(result)).Inc()
	switch {
	case result == claimOurs:
		c.setClaimed(record, true)
		return revision, claim{}, nil
	case result == claimOther && holder.Target == c.claims.self.Target:
		return 0, claim{}, refusal.NewUnknown("an earlier process of this agent had the call")
	case result == claimOther:
		return 0, holder, heldElsewhere()
	case provable:
		c.metrics.calls.WithLabelValues("provably_new").Inc()
		return 0, claim{}, nil
	}
	return 0, claim{}, c.platformDown(home, since)
}

func (c *caller) freshness(since time.Time) ledger.Freshness {
	if c.started.After(since) {
		since = c.started
	}
	return ledger.Freshness{StartTime: since, ClockMargin: c.margin}
}

func notHome() *refusal.Error {
	r := refusal.NewUnknown("this agent is not the home of the key")
	r.Kind = refusal.NotOwner
	return r.WithRetryAfter(time.Second)
}

// platformDown refuses a call that can't be claimed. It says "not run" only
// at the key's home, and only while no earlier process of it can have run the
// call within the time in which callers repeat themselves.
func (c *caller) platformDown(home bool, since time.Time) *refusal.Error {
	r := refusal.New(refusal.PlatformDown,
		"come back after the time in Retry-After with the same key, or use UUIDv7 keys, which are served during an outage",
		"the platform's service is down and the key can't be proved new").WithRetryAfter(platformRetry)
	if !home || time.Since(c.freshness(since).StartTime) < repeatWindow {
		r.Outcome = refusal.Unknown
	}
	return r
}

// repeatWindow is how long callers may take to repeat a call.
const repeatWindow = 5 * time.Minute

// platformRetry is when to come back while the platform's service is down.
const platformRetry = 2 * time.Second

func (c *caller) setClaimed(record *ledger.Record, claimed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record.Claimed = claimed
}

func (c *caller) setUnrepeatable(record *ledger.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record.GeneratedKey = true
}

func (c *caller) releaseClaim(ctx context.Context, key ledger.Key, record *ledger.Record, revision int64) {
	if revision == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c.setClaimed(record, false)
	c.claims.release(ctx, key, revision)
}

func heldElsewhere() *refusal.Error {
	r := refusal.NewUnknown("another agent has this call")
	r.Kind = refusal.HeldElsewhere
	return r
}
