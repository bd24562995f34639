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

// claimPrefix starts the platform keys of claims.
const claimPrefix = "acaciakeel/claims/"

// claim says which incarnation of which agent may run a call. It lies in the
// platform's service, so that it survives the agent: whoever finds it after
// the agent's death knows that the call may have run.
type claim struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	// Nonce is new with every claiming, so that a write whose answer was lost
	// can be told from an earlier claim of the same process.
	Nonce string `json:"nonce"`
}

// sameOwner reports whether two claims are of one process.
func (c claim) sameOwner(other claim) bool {
	return c.Target == other.Target && c.Incarnation == other.Incarnation
}

// claimResult is what an agent learned by claiming a call.
type claimResult string

const (
	// claimOwned: the claim is this incarnation's.
	claimOwned claimResult = "ours"
	// claimHeldElsewhere: another agent's or incarnation's.
	claimHeldElsewhere claimResult = "other"
	// claimFailed: the platform's service gave no certainty.
	claimFailed claimResult = "failed"
)

// claimStore makes claimStore for one incarnation.
type claimStore struct {
	store store.Store
	self  claim
	ttl   time.Duration

	mu        sync.Mutex
	lease     store.LeaseID
	grantedAt time.Time
}

// leasesPerTTL is how many leases an agent takes in one claim's lifetime:
// claims of one period share a lease, which is never renewed and takes them
// away together.
const leasesPerTTL = 24

func claimKey(k ledger.Key) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %q %q", k.Customer, k.Service, k.IdempotencyKey))
	return claimPrefix + hex.EncodeToString(sum[:16])
}

// acquire claims a call and returns the claim's revision. A write whose answer
// was lost may have taken effect, so it is settled by reading the claim back.
// A claim that is ours already is written once more: a release of it that is
// still on its way then finds another revision and does nothing.
func (c *claimStore) acquire(ctx context.Context, k ledger.Key) (claimResult, claim, int64) {
	revision := int64(0)
	mine := c.self
	mine.Nonce = uuid.NewString()
	for range maxClaimWrites {
		next, err := c.put(ctx, k, mine, revision)
		switch {
		case err == nil:
			return claimOwned, mine, next
		case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrNotFound):
			return claimFailed, claim{}, 0
		}
		found, foundRevision, err := c.read(ctx, k)
		switch {
		case errors.Is(err, store.ErrNotFound):
			revision = 0
		case err != nil:
			return claimFailed, claim{}, 0
		case found == mine:
			return claimOwned, mine, foundRevision
		case !found.sameOwner(mine):
			return claimHeldElsewhere, found, 0
		default:
			revision = foundRevision
		}
	}
	return claimFailed, claim{}, 0
}

// maxClaimWrites bounds the writes of one claim.
const maxClaimWrites = 3

func (c *claimStore) put(ctx context.Context, k ledger.Key, mine claim, ifRevision int64) (int64, error) {
	value, err := json.Marshal(mine)
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

func (c *claimStore) read(ctx context.Context, k ledger.Key) (claim, int64, error) {
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

// release gives up the claim of a call that was not sent, so that another
// agent can run it. Where that fails the claim stays, which is safe: calls
// with this key then come to this agent.
func (c *claimStore) release(ctx context.Context, k ledger.Key, revision int64) {
	_, _ = c.store.Delete(ctx, claimKey(k), revision)
}

// leaseCheckInterval is how often the lease of the next claims is looked after.
const leaseCheckInterval = time.Second

// maintainLease holds a lease ready. A grant whose answer is lost can't be read
// back, as its id is the service's; so a claim must not depend on one that is
// asked for on a call's way.
func (c *claimStore) maintainLease(ctx context.Context) {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		if lease, age := c.leaseAndAge(); lease == "" || age > c.ttl/leasesPerTTL/2 {
			// Where it fails, the lease there is serves until its time is over.
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
