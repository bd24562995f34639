package agent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"acaciakeel/ledger"
	"acaciakeel/store"
)

// claimPrefix is the prefix of claims' keys in the platform's store.
const claimPrefix = "acaciakeel/claims/"

// claim names the agent and incarnation that may run a call. It is stored in the
// platform's service and so outlives the agent: another process that finds it knows
// that the call may have run.
type claim struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	// Nonce is unique to each acquisition, so that a write whose response was lost can
	// be told from an earlier claim by the same process.
	Nonce string `json:"nonce"`
}

// sameOwner reports whether both claims belong to the same process.
func (c claim) sameOwner(other claim) bool {
	return c.Target == other.Target && c.Incarnation == other.Incarnation
}

// claimResult is the result of an attempt to claim a call.
type claimResult string

const (
	// claimOwned: this incarnation owns the claim.
	claimOwned claimResult = "ours"
	// claimHeldElsewhere: another agent or incarnation owns the claim, or this one for an
	// earlier call with the key.
	claimHeldElsewhere claimResult = "other"
	// claimFailed: the platform's service did not give a definite result.
	claimFailed claimResult = "failed"
)

// claimStore acquires and releases claims for one incarnation.
type claimStore struct {
	store store.Store
	self  claim
	ttl   time.Duration

	mu        sync.Mutex
	lease     store.LeaseID
	grantedAt time.Time
	// latest are the latest claims made and not released, the last one at the end. probe is the one
	// that is looked for next, verifying the one that is being looked for, and verifiedAt when one was
	// last.
	latest     []claimedCall
	probe      claimedCall
	verifying  claimedCall
	verifiedAt time.Time
}

// claimedCall is a claim as it was written.
type claimedCall struct {
	key      ledger.Key
	claim    claim
	position store.Position
	madeAt   time.Time
}

// leasesPerTTL is the number of leases that an agent takes during the lifetime of a
// claim. The claims of one period share a lease; it is not renewed, and the claims
// expire with it.
const leasesPerTTL = 24

func claimKey(k ledger.Key) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %q %q", k.Customer, k.Service, k.IdempotencyKey))
	return claimPrefix + hex.EncodeToString(sum[:16])
}

// make claims a call and returns the claim's revision. A write whose response was
// lost may have taken effect, so the claim is read back. If rewrite is set, a claim that
// this incarnation already owns is written again: a release of it that is still in flight
// then finds a different revision and has no effect. Otherwise it is held by another call.
func (c *claimStore) make(ctx context.Context, k ledger.Key, rewrite bool) (claimResult, claim, store.Position) {
	revision := store.Position(0)
	own := c.self
	own.Nonce = uuid.NewString()
	for range maxClaimWrites {
		began := time.Now()
		next, err := c.put(ctx, k, own, revision)
		switch {
		case err == nil:
			c.addLatest(claimedCall{key: k, claim: own, position: next, madeAt: began})
			return claimOwned, own, next
		case errors.Is(err, store.ErrUnavailable):
			return claimFailed, claim{}, 0
		case errors.Is(err, store.ErrNotFound):
			// The lease is gone; nothing was written. The next write takes another.
			continue
		}
		found, foundRevision, err := c.read(ctx, k)
		switch {
		case errors.Is(err, store.ErrNotFound):
			revision = 0
		case err != nil:
			return claimFailed, claim{}, 0
		case found == own:
			return claimOwned, own, foundRevision
		case !found.sameOwner(own) || !rewrite:
			return claimHeldElsewhere, found, 0
		default:
			revision = foundRevision
		}
	}
	return claimFailed, claim{}, 0
}

// maxClaimWrites is the maximum number of writes for one claim.
const maxClaimWrites = 3

func (c *claimStore) put(ctx context.Context, k ledger.Key, own claim, ifRevision store.Position) (store.Position, error) {
	value, err := json.Marshal(own)
	if err != nil {
		return 0, fmt.Errorf("encode claim: %w", err)
	}
	lease, err := c.currentLease(ctx)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	revision, err := c.store.Put(ctx, claimKey(k), value, ifRevision, lease)
	if errors.Is(err, store.ErrNotFound) {
		c.discardLease(lease)
	}
	return revision, err
}

func (c *claimStore) read(ctx context.Context, k ledger.Key) (claim, store.Position, error) {
	entry, err := c.store.Get(ctx, claimKey(k))
	if err != nil {
		return claim{}, 0, err
	}
	var found claim
	if err := json.Unmarshal(entry.Value, &found); err != nil {
		return claim{}, 0, fmt.Errorf("decode claim: %w", err)
	}
	return found, entry.Revision, nil
}

// release deletes the claim of a call that was not sent, so that another agent can run
// it. If that fails, the claim remains, which is safe: calls with this key are then
// sent to this agent.
func (c *claimStore) release(ctx context.Context, k ledger.Key, revision store.Position) {
	c.forget(k)
	_, _ = c.store.Delete(ctx, claimKey(k), revision)
}

// leaseCheckInterval is the interval at which maintainLease checks the lease.
const leaseCheckInterval = time.Second

// maintainLease keeps a lease ready for new claims. The service assigns the lease id,
// so a grant whose response is lost cannot be read back; granting in advance keeps
// calls independent of that.
func (c *claimStore) maintainLease(ctx context.Context) {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		if lease, age := c.leaseAndAge(); lease == "" || age > c.ttl/leasesPerTTL/2 {
			// On failure the current lease remains in use until it is too old.
			_ = c.grantLease(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *claimStore) leaseAndAge() (store.LeaseID, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease, time.Since(c.grantedAt)
}

func (c *claimStore) grantLease(ctx context.Context) error {
	requestedAt := time.Now()
	lease, err := c.store.Grant(ctx, c.ttl+c.ttl/leasesPerTTL)
	if err != nil {
		return fmt.Errorf("grant a lease for claims: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = lease
	c.grantedAt = requestedAt
	return nil
}

func (c *claimStore) currentLease(ctx context.Context) (store.LeaseID, error) {
	if lease, age := c.leaseAndAge(); lease != "" && age < c.ttl/leasesPerTTL {
		return lease, nil
	}
	if err := c.grantLease(ctx); err != nil {
		return "", err
	}
	lease, _ := c.leaseAndAge()
	return lease, nil
}

func (c *claimStore) discardLease(lease store.LeaseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == lease {
		c.lease = ""
	}
}
