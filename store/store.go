// Package platform is the system's only door to the platform's key-value
// service and its lagging list of VMs. Another protocol replaces http.go.
package store

import (
	"context"
	"errors"
	"time"

	"acaciakeel/vm"
)

// Errors that callers tell apart. Any other error means that the outcome is
// unknown: the call may have taken effect and only its answer been lost.
var (
	// ErrConflict: the key's revision is not the one given; read it and decide again.
	ErrConflict = errors.New("the key has another revision; read it and decide again")
	// ErrNotFound: there is no such key or lease.
	ErrNotFound = errors.New("no such key or lease")
	// ErrCompacted: the service no longer has the history that was asked for; list again.
	ErrCompacted = errors.New("the service no longer has this history; list again")
	// ErrUnavailable: the service did not take the call, which had no effect.
	ErrUnavailable = errors.New("the platform's service cannot be reached; the call had no effect")
)

// Entry is one key with its value and the revision that last changed it.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	// DecodeErr is why the value could not be read; nil where it was. The other
	// entries of the same answer are not touched by it.
	DecodeErr error `json:"-"`
}

// Listing is the entries below a prefix at one revision of the service.
type Listing struct {
	Revision int64   `json:"revision"`
	Entries  []Entry `json:"entries"`
}

// Event is one change of a key; Deleted events have no value.
type Event struct {
	Entry
	Deleted bool `json:"deleted"`
}

// Events is the changes after a revision, up to Revision. Compacted is set
// where the service no longer has them all: list again.
type Events struct {
	Revision  int64   `json:"revision"`
	Events    []Event `json:"events"`
	Compacted bool    `json:"compacted"`
}

// LeaseID names a lease; keys attached to it vanish when it lapses.
type LeaseID string

// Store is the key-value service.
type Store interface {
	// Get returns one entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries below a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Put writes value where the key's revision is still ifRevision (0: where
	// the key is not there), and returns the new revision, or ErrConflict.
	Put(ctx context.Context, key string, value []byte, ifRevision int64, lease LeaseID) (int64, error)
	// Delete removes a key where its revision is still ifRevision.
	Delete(ctx context.Context, key string, ifRevision int64) (int64, error)
	// Watch waits up to wait for changes below prefix after a revision.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Events, error)
	// Grant makes a lease, which lapses ttl after the last renewal reached the
	// service. One whose answer was lost lapses unused.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease, or returns ErrNotFound once it has lapsed.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease, and its keys vanish.
	Revoke(ctx context.Context, id LeaseID) error
}

// Directory is the lagging list of VMs.
type Directory interface {
	VMs(ctx context.Context) ([]vm.VM, error)
}
