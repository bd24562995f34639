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
	"acaciakeel/platform"
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
	// claimOurs: the claim is this incarnation's.
	claimOurs claimResult = "ours"
	// claimOther: another agent's or incarnation's.
	claimOther claimResult = "other"
	// claimFailed: the platform's service gave no certainty.
	claimFailed claimResult = "failed"
)

// claims makes claims for one incarnation.
type claims struct {
	store platform.Store
	self  claim
	ttl   time.Duration

	mu      sync.Mutex
	lease   platform.LeaseID
	granted time.Time
}

// leaseRenewal is how many leases an agent takes in one claim's lifetime:
// claims of one period share a lease, which is never renewed and takes them
// away together.
const leaseRenewal = 24

func claimKey(k ledger.Key) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %q %q", k.Customer, k.Service, k.IdempotencyKey))
	return claimPrefix + hex.EncodeToString(sum[:16])
}

// make claims a call and returns the claim's revision. A write whose answer
// was lost may have taken effect, so it is settled by reading the claim back.
// A claim that is ours already is written once more: a release of it that is
// still on its way then finds another revision and does nothing.
func (c *claims) make(ctx context.Context, k ledger.Key) (claimResult, claim, int64) {
	revision := int64(0)
	mine := c.self
	mine.Nonce = uuid.NewString()
	for range claimTries {
		next, err := c.put(ctx, k, mine, revision)
		switch {
		case err == nil:
			return claimOurs, mine, next
		case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrNotFound):
			return claimFailed, claim{}, 0
		}
		found, at, err := c.read(ctx, k)
		switch {
		case errors.Is(err, platform.ErrNotFound):
			revision = 0
		case err != nil:
			return claimFailed, claim{}, 0
		case found == mine:
			return claimOurs, mine, at
		case !found.sameOwner(mine):
			return claimOther, found, 0
		default:
			revision = at
		}
	}
	return claimFailed, claim{}, 0
}

// claimTries bounds the writes of one claim.
const claimTries = 3

func (c *claims) put(ctx context.Context, k ledger.Key, mine claim, ifRevision int64) (int64, error) {
	value, err := json.Marshal(mine)
	if err != nil {
		return 0, fmt.Errorf("encode claim: %w", err)
	}
	lease, err := c.currentLease(ctx)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	revision, err := c.store.Put(ctx, claimKey(k), value, ifRevision, lease)
	if errors.Is(err, platform.ErrNotFound) {
		c.dropLease(lease)
	}
	return revision, err
}

func (c *claims) read(ctx context.Context, k ledger.Key) (claim, int64, error) {
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
func (c *claims) release(ctx context.Context, k ledger.Key, revision int64) {
	_, _ = c.store.Delete(ctx, claimKey(k), revision)
}

func (c *claims) currentLease(ctx context.Context) (platform.LeaseID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease != "" && time.Since(c.granted) < c.ttl/leaseRenewal {
		return c.lease, nil
	}
	lease := platform.LeaseID(uuid.NewString())
	err := c.store.Grant(ctx, lease, c.ttl+c.ttl/leaseRenewal)
	if errors.Is(err, platform.ErrUnavailable) {
		return "", fmt.Errorf("grant a lease for claims: %w", err)
	}
	// After any other error the lease may be there; the next write shows it.
	c.lease = lease
	c.granted = time.Now()
	return lease, nil
}

func (c *claims) dropLease(lease platform.LeaseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == lease {
		c.lease = ""
	}
}
