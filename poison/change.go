package poison

import (
	"time"

	"acaciakeel/fleet"
)

// ChangeKind is the kind of a change. Its values are labels of the contents counter.
type ChangeKind string

const (
	Suspected ChangeKind = "suspected"
	Convicted ChangeKind = "convicted"
	Cleared   ChangeKind = "cleared"
	Lifted    ChangeKind = "lifted"
	Expired   ChangeKind = "expired"
	Dropped   ChangeKind = "dropped"
)

// Origin is where a process learned of a crash or verdict.
type Origin string

const (
	// OriginLocal is an observation of this process, OriginPeer a report of another
	// process, OriginStore an entry of the platform's store.
	OriginLocal Origin = "seen"
	OriginPeer  Origin = "told"
	OriginStore Origin = "kept"
)

// Change is a change to the record of one content.
type Change struct {
	Case
	Kind   ChangeKind
	Origin Origin
	// Target is the instance whose crash caused the change; empty if none did.
	Target fleet.Instance
	// Crashes is the number of counted crashes after the change, Until the expiry of the
	// verdict.
	Crashes int
	Until   time.Time
}
