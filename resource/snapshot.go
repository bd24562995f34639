package resource

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Snapshot is all resources at one revision of the platform's service. It is
// immutable: processes replace it as a whole and never modify it in place.
type Snapshot struct {
	// Revision is the position (store.Position) in the platform's service up to which the snapshot
	// is complete.
	Revision    int64
	Services    map[string]Service
	Targets     map[string]Target
	Customers   map[string]Customer
	Models      map[string]Model
	Preferences map[string]Preference
	// Resources holds every resource as stored, by platform key.
	Resources map[string]Resource
	// Withheld maps the platform keys of resources that were deleted and are back in the service,
	// since it was restored from an older copy, to their versions. They are not in force.
	Withheld map[string]int64
	// ReplacedAt is when it was noticed that the service was restored from an older copy; zero if
	// it was not.
	ReplacedAt time.Time

	customerByKeyHash map[string]string
	targetsByGroup    map[string][]string
	// deletions are the most recent ones. Deletions at or before the revision
	// floor may be missing.
	deletions []Deletion
	floor     int64
}

// Empty returns a snapshot without resources, at revision 0.
func Empty() *Snapshot {
	s, _ := Build(0, nil)
	return s
}

// Build returns the snapshot of resources at revision. Resources that cannot
// be decoded are left out and reported in one error; the rest is served, since
// one broken resource must not make the others unavailable.
func Build(revision int64, resources []Resource) (*Snapshot, error) {
	s := &Snapshot{
		Revision:          revision,
		floor:             revision,
		Services:          map[string]Service{},
		Targets:           map[string]Target{},
		Customers:         map[string]Customer{},
		Models:            map[string]Model{},
		Preferences:       map[string]Preference{},
		Resources:         map[string]Resource{},
		Withheld:          map[string]int64{},
		customerByKeyHash: map[string]string{},
		targetsByGroup:    map[string][]string{},
	}
	var bad []string
	for _, r := range resources {
		if err := s.add(r); err != nil {
			bad = append(bad, err.Error())
		}
	}
	s.index()
	if len(bad) > 0 {
		return s, fmt.Errorf("resources left out: %q; replace or delete them with keelctl", bad)
	}
	return s, nil
}

func (s *Snapshot) add(r Resource) error {
	spec, err := DecodeSpec(r.Kind, r.Spec)
	if err != nil {
		return fmt.Errorf("decode %s %s: %w", r.Kind, r.Name, err)
	}
	switch spec := spec.(type) {
	case Service:
		s.Services[r.Name] = spec
	case Target:
		s.Targets[r.Name] = spec
	case Customer:
		s.Customers[r.Name] = spec.withDefaults()
	case Model:
		s.Models[r.Name] = spec.withDefaults()
	case Preference:
		s.Preferences[r.Name] = spec.WithDefaults()
	}
	s.Resources[Key(r.Kind, r.Name)] = r
	return nil
}

func (s *Snapshot) index() {
	for name, c := range s.Customers {
		for _, hash := range c.KeyHashes {
			s.customerByKeyHash[hash] = name
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Targets)) {
		t := s.Targets[name]
		group := groupKey(t.Model, t.Service)
		s.targetsByGroup[group] = append(s.targetsByGroup[group], name)
	}
}

func groupKey(model, service string) string {
	if model != "" {
		return "model/" + model
	}
	return "service/" + service
}

// CustomerByKeyHash returns the customer whose API key has the hash.
func (s *Snapshot) CustomerByKeyHash(hash string) (string, Customer, bool) {
	name, ok := s.customerByKeyHash[hash]
	return name, s.Customers[name], ok
}

// TargetsOfModel returns the names of the model's targets, sorted.
func (s *Snapshot) TargetsOfModel(model string) []string {
	return s.targetsByGroup[groupKey(model, "")]
}

// TargetsOfService returns the names of the service's targets, sorted.
func (s *Snapshot) TargetsOfService(service string) []string {
	return s.targetsByGroup[groupKey("", service)]
}

// PreferenceOf returns the preference of a customer, or the defaults if the
// named preference does not exist.
func (s *Snapshot) PreferenceOf(c Customer) Preference {
	p, ok := s.Preferences[c.Preference]
	if !ok {
		return Preference{}.WithDefaults()
	}
	return p
}
