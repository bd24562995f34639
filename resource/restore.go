package resource

import (
	"maps"
	"time"

	"acaciakeel/store"
)

// isLater reports whether a delta belongs to a later history of the platform's service than the
// snapshot, that is whether the service has come back from an older copy of its contents.
func (s *Snapshot) isLater(d Delta) bool {
	return store.Position(d.Revision).History() > store.Position(s.Revision).History()
}

// withFull returns the snapshot after a full delta. What a later history lacks or has in an older
// version was acknowledged and is gone from the service: it stays in force, marked as unsaved, until
// it is written again. What was deleted and is back is withheld. Versions of one resource are ordered
// by the time of their change, since their revisions belong to different histories.
func (s *Snapshot) withFull(d Delta) (*Snapshot, error) {
	m := merge{
		old:      s,
		later:    s.isLater(d),
		deleted:  lastDeleted(s.deletions, d.Deleted),
		withheld: maps.Clone(d.Withheld),
	}
	if m.withheld == nil {
		m.withheld = map[string]int64{}
	}
	listed := map[string]bool{}
	for _, r := range d.Changed {
		listed[Key(r.Kind, r.Name)] = true
		m.addListed(r)
	}
	for key, r := range s.Resources {
		if !listed[key] {
			m.addMissing(key, r, d.Revision)
		}
	}
	next, err := Build(d.Revision, m.resources)
	next.Withheld = m.withheld
	next.ReplacedAt = s.ReplacedAt
	if m.later {
		next.ReplacedAt = d.ReplacedAt
	}
	next.deletions = mergeDeletions(s.deletions, d.Deleted, m.removed)
	if extra := len(next.deletions) - maxDeletions; extra > 0 {
		next.deletions = next.deletions[extra:]
	}
	return next, err
}

// merge decides which version of each resource is in force after a full delta.
type merge struct {
	old *Snapshot
	// later is set if the delta belongs to a later history.
	later bool
	// deleted maps the key of each deleted resource to the time of the version that was deleted.
	deleted   map[string]time.Time
	resources []Resource
	withheld  map[string]int64
	// removed are the deletions found by the delta's lack of a resource.
	removed []Deletion
}

func (m *merge) addListed(r Resource) {
	key := Key(r.Kind, r.Name)
	old, inForce := m.old.Resources[key]
	switch {
	case inForce && m.outlasts(old, r.Version) && old.Changed.After(r.Changed):
		old.Version, old.Unsaved = r.Version, true
		r = old
	case !inForce && m.isWithheld(key, r):
		m.withheld[key] = r.Version
		return
	}
	m.resources = append(m.resources, r)
}

// outlasts reports whether a resource in force may be newer than the service's version of it.
func (m *merge) outlasts(old Resource, version int64) bool {
	return m.later || old.Unsaved && old.Version == version
}

func (m *merge) isWithheld(key string, r Resource) bool {
	if !m.later {
		version, known := m.old.Withheld[key]
		return known && version == r.Version
	}
	deleted, known := m.deleted[key]
	return known && !r.Changed.After(deleted)
}

func (m *merge) addMissing(key string, old Resource, revision int64) {
	deleted, known := m.deleted[key]
	_, withheld := m.withheld[key]
	if !m.outlasts(old, 0) || withheld || known && !old.Changed.After(deleted) {
		m.removed = append(m.removed, Deletion{Key: key, Revision: revision, Changed: old.Changed})
		return
	}
	old.Version, old.Unsaved = 0, true
	m.resources = append(m.resources, old)
}

// lastDeleted maps the key of each deleted resource to the time of the last version deleted.
func lastDeleted(lists ...[]Deletion) map[string]time.Time {
	last := map[string]time.Time{}
	for _, list := range lists {
		for _, d := range list {
			if at, known := last[d.Key]; !known || d.Changed.After(at) {
				last[d.Key] = d.Changed
			}
		}
	}
	return last
}

// Contradicts reports whether the service's full listing cannot follow the snapshot within one
// history: it has a resource at a revision that the snapshot has passed, but that the snapshot does
// not have at that revision. The service has then come back from an older copy and has given
// revisions out again.
func (s *Snapshot) Contradicts(listing Delta) bool {
	if s.isLater(listing) {
		return false
	}
	for _, r := range listing.Changed {
		if r.Version > s.Revision {
			continue
		}
		if _, err := DecodeSpec(r.Kind, r.Spec); err != nil {
			// The snapshot leaves out what cannot be decoded.
			continue
		}
		key := Key(r.Kind, r.Name)
		old, inForce := s.Resources[key]
		if !inForce && s.Withheld[key] != r.Version {
			return true
		}
		if inForce && (old.Version != r.Version || !old.Unsaved && old.ChangeID != r.ChangeID) {
			return true
		}
	}
	return false
}

// minChangeStep separates the times of two versions of one resource.
const minChangeStep = time.Millisecond

// ChangeTime returns the time of a new version of a resource: now, or later if the clock of the
// writer of the previous version is ahead.
func (s *Snapshot) ChangeTime(key string, now time.Time) time.Time {
	previous := s.Resources[key].Changed
	if deleted := lastDeleted(s.deletions)[key]; deleted.After(previous) {
		previous = deleted
	}
	if now.After(previous) {
		return now
	}
	return previous.Add(minChangeStep)
}

// Unsaved returns the keys of the resources that are in force and not in the service, sorted.
func (s *Snapshot) Unsaved() []string {
	var keys []string
	for _, key := range sortedKeys(s.Resources) {
		if s.Resources[key].Unsaved {
			keys = append(keys, key)
		}
	}
	return keys
}
