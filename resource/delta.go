package resource

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Deletion records that a resource was deleted, and at which revision.
type Deletion struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
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
	Deleted  []Deletion `json:"deleted,omitempty"`
}

// Since returns the changes after the revision base. The delta is full if base
// is older than the deletions that are kept, or newer than the snapshot.
func (s *Snapshot) Since(base int64) Delta {
	d := Delta{Base: base, Revision: s.Revision, Full: base < s.floor || base > s.Revision}
	for _, key := range slices.Sorted(maps.Keys(s.Resources)) {
		if r := s.Resources[key]; d.Full || r.Version > base {
			d.Changed = append(d.Changed, r)
		}
	}
	for _, deletion := range s.deletions {
		if !d.Full && deletion.Revision > base {
			d.Deleted = append(d.Deleted, deletion)
		}
	}
	return d
}

// With returns the snapshot with a delta applied. Resources that cannot be
// decoded are left out and reported, as by Build.
func (s *Snapshot) With(d Delta) (*Snapshot, error) {
	if d.Full {
		return Build(d.Revision, d.Changed)
	}
	if d.Base > s.Revision {
		return s, fmt.Errorf("a delta from revision %d does not fit revision %d; fetch again", d.Base, s.Revision)
	}
	resources := maps.Clone(s.Resources)
	for _, r := range d.Changed {
		key := Key(r.Kind, r.Name)
		if r.Version > resources[key].Version {
			resources[key] = r
		}
	}
	for _, deletion := range d.Deleted {
		if resources[deletion.Key].Version < deletion.Revision {
			delete(resources, deletion.Key)
		}
	}
	next, err := Build(d.Revision, slices.Collect(maps.Values(resources)))
	next.floor = s.floor
	next.deletions = mergeDeletions(s.deletions, d.Deleted)
	if extra := len(next.deletions) - maxDeletions; extra > 0 {
		next.floor = next.deletions[extra-1].Revision
		next.deletions = next.deletions[extra:]
	}
	return next, err
}

func mergeDeletions(a, b []Deletion) []Deletion {
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(x, y Deletion) int {
		return cmp.Or(cmp.Compare(x.Revision, y.Revision), cmp.Compare(x.Key, y.Key))
	})
	return slices.Compact(all)
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
