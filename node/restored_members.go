package node

import (
	"time"

	"acaciakeel/store"
)

// memberReturnGrace is how long the members that an older copy of the store lacks count as members
// after the store came back: each writes its entry again within two seconds. Without it a node would
// stop sending to the others, which rely on its updates, and take each limit for its own.
const memberReturnGrace = 2 * time.Second

// restoredMembers are the members that the first listing of a history lacks. The mutex of the view
// guards it.
type restoredMembers struct {
	// listed is the position of the latest listing.
	listed store.Position
	// awaited are until when the entries of members may return.
	awaited map[string]time.Time
}

// await reports whether a member that is not in a listing at a position may still return.
func (m *restoredMembers) await(key string, at store.Position) bool {
	if at.History() > m.listed.History() {
		if m.awaited == nil {
			m.awaited = map[string]time.Time{}
		}
		m.awaited[key] = time.Now().Add(memberReturnGrace)
	}
	_, awaited := m.awaited[key]
	return awaited
}

// begin records a listing, and reports whether it is the first one of a history that replaced another.
func (m *restoredMembers) begin(at store.Position) bool {
	replaced := m.listed != 0 && at.History() > m.listed.History()
	m.listed = at
	return replaced
}

// returned records that the store has said something of a member.
func (m *restoredMembers) returned(key string) {
	delete(m.awaited, key)
}

// removeUnreturned removes the members whose entries did not return.
func (v *view) removeUnreturned() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for key, until := range v.restoredMembers.awaited {
		if !now.Before(until) {
			v.removeMember(key)
			delete(v.restoredMembers.awaited, key)
		}
	}
	v.membersChanged()
}
