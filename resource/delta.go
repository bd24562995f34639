package resource

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Deletion records that a resource was deleted, and at which revision.
type Deletion struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	// Changed is the time of the version that was deleted, by which it is recognized if the
	// platform's service comes back from a copy that has it.
	Changed time.Time `json:"changed,omitzero"`
}

// maxDeletions is how many deletions a snapshot keeps, so that a neighbour
// with an older revision can be sent only the changes.
const maxDeletions = 500

// Delta is the set of changes between two revisions. At the size planned for
// two years from now a snapshot is about a megabyte and changes 3,500 times a
// day; sending it whole would alone exceed a node's budget.
type Delta struct {
	// Full means that Changed holds every resource; Base is then ignored.
	Full bool `json:"full,omitempty"`
	// Base is the revision that the delta applies to.
	Base     int64      `json:"base"`
	Revision int64      `json:"revision"`
	Changed  []Resource `json:"changed,omitempty"`
	// Deleted are the deletions after Base; in a full delta all that are remembered.
	Deleted []Deletion `json:"deleted,omitempty"`
	// Withheld and ReplacedAt are those of the Snapshot; only a full delta has them.
	Withheld   map[string]int64 `json:"withheld,omitempty"`
	ReplacedAt time.Time        `json:"replaced_at,omitzero"`
}

// Since returns the changes after the revision base. The delta is full if base
// is older than the deletions that are kept, or newer than the snapshot.
func (s *Snapshot) Since(base int64) Delta {
	d := Delta{Base: base, Revision: s.Revision, Full: base < s.floor || base > s.Revision}
	if d.Full {
		d.Withheld, d.ReplacedAt = s.Withheld, s.ReplacedAt
	}
	for _, key := range sortedKeys(s.Resources) {
		if r := s.Resources[key]; d.Full || r.Version > base {
			d.Changed = append(d.Changed, r)
		}
	}
	for _, deletion := range s.deletions {
		if d.Full || deletion.Revision > base {
			d.Deleted = append(d.Deleted, deletion)
		}
	}
	return d
}

// With returns the snapshot with a delta applied. Resources that cannot be
// decoded are left out and reported, as by Build.
func (s *Snapshot) With(d Delta) (*Snapshot, error) {
	if d.Full {
		return s.withFull(d)
	}
	if d.Base > s.Revision {
		return s, fmt.Errorf("a delta from revision %d does not fit revision %d; fetch again", d.Base, s.Revision)
	}
	resources, withheld := maps.Clone(s.Resources), maps.Clone(s.Withheld)
	for _, r := range d.Changed {
		key := Key(r.Kind, r.Name)
		if r.Version > resources[key].Version {
			resources[key] = r
			delete(withheld, key)
		}
	}
	known := lastDeleted(s.deletions)
	deletions := slices.Clone(d.Deleted)
	for i, deletion := range deletions {
		if old := resources[deletion.Key]; old.Version < deletion.Revision {
			deletions[i].Changed = latest(deletion.Changed, old.Changed, known[deletion.Key])
			delete(resources, deletion.Key)
			delete(withheld, deletion.Key)
		}
	}
	next, err := Build(d.Revision, slices.Collect(maps.Values(resources)))
	next.floor, next.Withheld, next.ReplacedAt = s.floor, withheld, s.ReplacedAt
	next.deletions = mergeDeletions(s.deletions, deletions)
	if extra := len(next.deletions) - maxDeletions; extra > 0 {
		next.floor = max(next.floor, next.deletions[extra-1].Revision)
		next.deletions = next.deletions[extra:]
	}
	return next, err
}

// mergeDeletions returns the deletions of all lists by revision, each once.
func mergeDeletions(lists ...[]Deletion) []Deletion {
	all := slices.Concat(lists...)
	slices.SortFunc(all, func(x, y Deletion) int {
		return cmp.Or(cmp.Compare(x.Revision, y.Revision), cmp.Compare(x.Key, y.Key), y.Changed.Compare(x.Changed))
	})
	return slices.CompactFunc(all, func(x, y Deletion) bool { return x.Revision == y.Revision && x.Key == y.Key })
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// KeepPrevious returns the spec of a changed Model with PreviousVersion set to
// the version in force, so that every process, including a restarted one,
// knows which version runners serve until they have the new weights.
func KeepPrevious(r Resource, s *Snapshot) json.RawMessage {
	old, known := s.Models[r.Name]
	if r.Kind != KindModel || !known {
		return r.Spec
	}
	m, err := decodeStrict[Model](r.Spec)
	if err != nil || m.PreviousVersion != "" {
		return r.Spec
	}
	m.PreviousVersion = old.WeightsVersion
	if m.WeightsVersion == old.WeightsVersion {
		m.PreviousVersion = old.PreviousVersion
	}
	spec, err := json.Marshal(m)
	if err != nil {
		return r.Spec
	}
	return spec
}
