package lease

import (
	"context"
	"testing"
	"time"

	"acaciakeel/store"
)

// renewedStore signals each renewal.
type renewedStore struct {
	store.Store
	renewed chan struct{}
}

func (s renewedStore) Grant(context.Context, time.Duration) (store.LeaseID, error) { return "1", nil }

func (s renewedStore) Renew(context.Context, store.LeaseID) error {
	select {
	case s.renewed <- struct{}{}:
	default:
	}
	return nil
}

// Guards against a lease that ends at each grant because the writes of its keys, at a slow
// store, hold up its renewals.
func TestLeaseIsRenewedWhileKeysAreWritten(t *testing.T) {
	const ttl, tooLong = 40 * time.Millisecond, 20 * time.Second
	s := renewedStore{renewed: make(chan struct{}, 1)}
	written := make(chan struct{})
	defer close(written)
	go NewSession(s, ttl, 0).Run(t.Context(), func(context.Context, store.LeaseID) { <-written })
	select {
	case <-s.renewed:
	case <-time.After(tooLong):
		t.Error("the lease is not renewed while its keys are written")
	}
}
