package poison

import (
	"time"

	"acaciakeel/fleet"
)

// What is a kind of change; each is a label of the counter of contents.
type What string

// The kinds of changes.
const (
	Suspected What = "suspected"
	Convicted What = "convicted"
	Cleared   What = "cleared"
	Lifted    What = "lifted"
	Expired   What = "expired"
	Dropped   What = "dropped"
)

// Origin says how a process came to know.
type Origin string

// The origins of what is known.
const (
	// Seen by this process itself, Told by another, Kept in the platform's store.
	Seen Origin = "seen"
	Told Origin = "told"
	Kept Origin = "kept"
)

// Change is one change of what is held of a content.
type Change struct {
	Case
	What   What
	Origin Origin
	// Target is the life whose end made the change; empty where none did.
	Target fleet.Life
	// Ends is how many ends count by now, Until when a verdict lapses.
	Ends  int
	Until time.Time
}
