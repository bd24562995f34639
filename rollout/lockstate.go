package rollout

import (
	"fmt"

	"acaciakeel/clock"
	"acaciakeel/store"
)

// lockOwner is who wrote the entry at the key of a leader lock.
type lockOwner string

const (
	// ownerNone: the key does not exist.
	ownerNone lockOwner = "none"
	// ownerSelf: this process holds the lock.
	ownerSelf lockOwner = "self"
	// ownerOther: another process holds the lock.
	ownerOther lockOwner = "other"
	// ownerFormer: the entry is that of an earlier hold of this process, which has ended. It
	// came back from an older copy of the store.
	ownerFormer lockOwner = "former"
	// ownerForeign: the entry was not written by a controller.
	ownerForeign lockOwner = "foreign"
)

// lockState is the state of the lock's key at a revision of the store.
type lockState struct {
	owner lockOwner
	// revision is the revision of the entry, or for ownerNone one at which the key did not
	// exist.
	revision store.Position
	// learnedAt is when this process learned of the state.
	learnedAt clock.BootTime
	// listed is set if this is the first state that was observed in a history of the store,
	// so that a holder need not have been alive since.
	listed bool
	// cameBack is set if the entry was known before the store came back from an older copy,
	// so that its holder need not exist any more.
	cameBack bool
}

// String implements fmt.Stringer for the log.
func (s lockState) String() string {
	return fmt.Sprintf("%s@%d", s.owner, s.revision)
}

// sameAs reports whether both are the same state of the key, whenever it was learned.
func (s lockState) sameAs(other lockState) bool {
	return s.owner == other.owner && s.revision == other.revision
}

// hasHolder reports whether a process holds the lock.
func (s lockState) hasHolder() bool {
	return s.owner == ownerSelf || s.owner == ownerOther
}

// expectedRevision is the revision that the key must still have for a write after this
// state; 0 requires that the key does not exist.
func (s lockState) expectedRevision() store.Position {
	if s.owner == ownerNone {
		return 0
	}
	return s.revision
}

// response is what the response to a call says of the key. Responses and observations
// come by different ways and in either order, so a response may be older than the known
// state.
type response struct {
	// entry is the key's entry; its Revision is 0 if the key did not exist.
	entry store.Entry
	// known is false if the response does not tell.
	known bool
	// written is set if the call has written the entry.
	written bool
}

// String implements fmt.Stringer for the log.
func (r response) String() string {
	switch {
	case !r.known:
		return "unknown"
	case r.entry.Revision == 0:
		return "absent"
	}
	return fmt.Sprintf("%q@%d", r.entry.Value, r.entry.Revision)
}
