package store

// Position is a place in the service's history: a revision, and the history that it
// belongs to. The service may come back from an older copy of its contents and then
// gives the revisions after the copy out again, to other changes. The client counts
// these replacements; positions of a later history are higher than all of earlier
// ones, so that positions, unlike revisions, are ordered and never given out twice
// within one process.
//
// The count is that of one process: positions of two processes can be compared only if
// both belong to the same history, which the processes have to establish.
type Position int64

// Bits of a Position: the revision is in the lower ones.
const (
	revisionBits = 48
	// MaxRevision is the highest revision that a Position can hold.
	MaxRevision = 1<<revisionBits - 1
	// MaxHistory is the highest number of a history that a Position can hold.
	MaxHistory = 1<<(63-revisionBits) - 1
)

// At returns the position of a revision in the history with a number, counted from 0.
func At(history int, revision int64) Position {
	return Position(int64(history)<<revisionBits | revision)
}

// History returns the number of the history, counted from 0.
func (p Position) History() int {
	return int(p >> revisionBits)
}

// Revision returns the service's revision within its history.
func (p Position) Revision() int64 {
	return int64(p) & MaxRevision
}
