// Package store defines the interfaces to the platform's key-value service and
// to its list of VMs. The rest of the system reaches both only through them, so
// that another protocol needs only another implementation.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"acaciakeel/vm"
)

// Errors that callers distinguish. After any other error the outcome is
// unknown: the call may have taken effect although its response was lost.
var (
	// ErrConflict is returned if the key's revision differs from the expected
	// one. The caller reads the key again before it decides on another write.
	ErrConflict = errors.New("the key has another revision; read it and decide again")
	// ErrNotFound is returned if the key or lease does not exist.
	ErrNotFound = errors.New("no such key or lease")
	// ErrCompacted is returned if the service has discarded the requested
	// history. The caller lists again.
	ErrCompacted = errors.New("the service no longer has this history; list again")
	// ErrUnavailable is returned if the service did not accept the call, which
	// therefore had no effect.
	ErrUnavailable = errors.New("the platform's service cannot be reached; the call had no effect")
)

// ConflictError is ErrConflict with the entry that the key has instead. The entry is as of
// the service's response, and a watch may have shown a newer one.
type ConflictError struct {
	// Current is the entry; its Revision is 0 if the key does not exist.
	Current Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: found revision %d", ErrConflict, e.Current.Revision)
}

// Unwrap implements the interface used by errors.Is and errors.As.
func (e *ConflictError) Unwrap() error {
	return ErrConflict
}

// Entry is one key with its value and the position of its last change.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Position `json:"revision"`
	// Created is the position at which the key was created; 0 if that is not known.
	Created Position `json:"created"`
	// DecodeErr is the error from decoding this entry, or nil. It does not affect
	// the other entries of the same response.
	DecodeErr error `json:"-"`
}

// Listing contains the entries below a prefix. Revision is the service's
// position when the listing began, and Through the one when it ended. A listing
// read in pages is not a snapshot: its entries may be newer than Revision, and a
// watch after Revision returns them again.
type Listing struct {
	Revision Position `json:"revision"`
	Through  Position `json:"through"`
	Entries  []Entry  `json:"entries"`
}

// Event is one change of a key. The Value of a deletion is empty.
type Event struct {
	Entry
	Deleted bool `json:"deleted"`
}

// Events contains the changes after a revision, up to and including Revision.
type Events struct {
	Revision Position `json:"revision"`
	Events   []Event  `json:"events"`
	// Compacted is set if the service has discarded some of them, or its history
	// was replaced. The caller lists again.
	Compacted bool `json:"compacted"`
	// Reconnected is set if the connection was opened since the latest listing or
	// watch of the prefix. The service may have been restarted in between, and its
	// history replaced without another sign: the changes may not follow those of
	// before, and the caller lists again unless it knows better.
	Reconnected bool `json:"reconnected"`
}

// LeaseID identifies a lease. Keys attached to a lease are deleted when it expires.
type LeaseID string

// Store is the key-value service.
type Store interface {
	// Get returns one entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries below a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Put writes value if the key's revision equals ifRevision, where 0 means
	// that the key does not exist. It returns the new revision, or ErrConflict.
	Put(ctx context.Context, key string, value []byte, ifRevision Position, lease LeaseID) (Position, error)
	// Delete removes a key if its revision equals ifRevision.
	Delete(ctx context.Context, key string, ifRevision Position) (Position, error)
	// Watch returns the changes below prefix after a revision. It blocks for at
	// most wait if there are none.
	Watch(ctx context.Context, prefix string, after Position, wait time.Duration) (Events, error)
	// Grant creates a lease, which expires ttl after the service received the
	// last renewal. A lease whose response was lost expires unused.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease, or returns ErrNotFound if it has expired.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// Directory is the platform's list of VMs. The list lags behind the actual state.
type Directory interface {
	VMs(ctx context.Context) ([]vm.VM, error)
}
