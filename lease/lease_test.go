package lease

import (
	"context"
	"errors"
	"sync/atomic"
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

// failingStore is a renewedStore whose renewals fail while failing is set.
type failingStore struct {
	renewedStore
	failing atomic.Bool
}

var errNoAnswer = errors.New("no answer")

func (s *failingStore) Renew(ctx context.Context, id store.LeaseID) error {
	if s.failing.Load() {
		return errNoAnswer
	}
	return s.renewedStore.Renew(ctx, id)
}

// Guards against a lease that seems to have lasted all the time although it may have expired
// before it was renewed, and against one that seems interrupted by a single lost renewal.
func TestLeaseIsInterruptedOnlyByItsExpiry(t *testing.T) {
	const ttl = 200 * time.Millisecond
	s := &failingStore{}
	session := NewSession(s, ttl, 0)
	session.renewOrGrant(t.Context())
	granted := session.Since()
	s.failing.Store(true)
	session.renewOrGrant(t.Context())
	s.failing.Store(false)
	session.renewOrGrant(t.Context())
	if session.Since() != granted {
		t.Error("one lost renewal counts as an interruption")
	}
	time.Sleep(ttl)
	session.renewOrGrant(t.Context())
	if session.Since() <= granted {
		t.Error("a renewal after the expiry does not count as an interruption")
	}
}
