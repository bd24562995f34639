package poison

import (
	"time"

	"acaciakeel/fleet"
)

// ChangeKind is a kind of change; each is a label of the counter of contents.
type ChangeKind string

// The kinds of changes.
const (
	Suspected ChangeKind = "suspected"
	Convicted ChangeKind = "convicted"
	Cleared   ChangeKind = "cleared"
	Lifted    ChangeKind = "lifted"
	Expired   ChangeKind = "expired"
	Dropped   ChangeKind = "dropped"
)

// Origin says how a process came to know.
type Origin string

// The origins of what is known.
const (
	// OriginLocal by this process itself, Told by another, Kept in the platform's store.
	OriginLocal Origin = "seen"
	OriginPeer  Origin = "told"
	OriginStore Origin = "kept"
)

// Change is one change of what is held of a content.
type Change struct {
	Case
	Kind   ChangeKind
	Origin Origin
	// Target is the life whose end made the change; empty where none did.
	Target fleet.Instance
	// Crashes is how many ends count by now, Until when a verdict lapses.
	Crashes int
	Until   time.Time
}
