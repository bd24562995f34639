// Package kv is a stand-in of the platform: its key-value service with
// compare-and-swap, leases and watches, and its lagging list of VMs.
package kv

import (
	"strings"
	"sync"
	"time"

	"acaciakeel/store"
	"acaciakeel/vm"
)

// keptEvents is how many events a watch can go back.
const keptEvents = 10000

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// item is one key as the protocol shows it.
type item struct {
	Key      string         `json:"key"`
	Value    []byte         `json:"value,omitempty"`
	Revision store.Position `json:"revision"`
	// Created is the revision at which the key came to exist, Lease 0 for a key that stays.
	Created store.Position `json:"created,omitempty"`
	Lease   int64          `json:"lease,omitempty"`
	Removed bool           `json:"removed,omitempty"`
}

type listedVM struct {
	vm   vm.VM
	seen time.Time
}

// Store is the stand-in's state.
type Store struct {
	mu       sync.Mutex
	revision store.Position
	values   map[string]item
	leases   map[int64]lease
	granted  int64
	events   []item
	changed  chan struct{}
	// era counts the copies that the store came back from.
	era int
	vms map[string]listedVM
	lag time.Duration
}

// NewStore returns an empty store whose list of VMs lags by lag.
func NewStore(lag time.Duration) *Store {
	return &Store{
		// Unlike 0, a start in the thousands shows up code that takes 0 for "none".
		revision: 1000,
		values:   map[string]item{},
		leases:   map[int64]lease{},
		changed:  make(chan struct{}),
		vms:      map[string]listedVM{},
		lag:      lag,
	}
}

func (s *Store) get(key string) (item, store.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	v, ok := s.values[key]
	if !ok {
		return item{}, 0, store.ErrNotFound
	}
	return v, s.revision, nil
}

func (s *Store) list(prefix string) ([]item, store.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	var out []item
	for key, v := range s.values {
		if strings.HasPrefix(key, prefix) {
			out = append(out, v)
		}
	}
	return out, s.revision
}

// write is one put of a change.
type write struct {
	key  string
	data []byte
	// lease is 0 for a key that stays.
	lease int64
}

// change is all-or-nothing: conditions name the keys' present revisions, 0 for
// keys that are not there.
type change struct {
	conditions []item
	puts       []write
	removes    []string
}

func (s *Store) commit(c change) (store.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	for _, condition := range c.conditions {
		if s.values[condition.Key].Revision != condition.Revision {
			return 0, &conflict{current: s.entries(c.conditions)}
		}
	}
	for _, p := range c.puts {
		if _, ok := s.leases[p.lease]; p.lease != 0 && !ok {
			return 0, store.ErrNotFound
		}
	}
	for _, p := range c.puts {
		s.put(p)
	}
	for _, key := range c.removes {
		if _, ok := s.values[key]; ok {
			s.remove(key)
		}
	}
	return s.revision, nil
}

// put writes a key; the caller holds mu.
func (s *Store) put(w write) {
	s.revision++
	v := item{Key: w.key, Value: w.data, Revision: s.revision, Created: s.revision, Lease: w.lease}
	if old, ok := s.values[w.key]; ok {
		v.Created = old.Created
	}
	s.values[w.key] = v
	s.publish(v)
}

// conflict is store.ErrConflict with the entries of the conditions' keys, in their order.
type conflict struct {
	current []item
}

func (c *conflict) Error() string { return store.ErrConflict.Error() }

func (c *conflict) Unwrap() error { return store.ErrConflict }

// entries returns the current entries of the conditions' keys; a missing one has revision 0.
// The caller holds mu.
func (s *Store) entries(conditions []item) []item {
	out := []item{}
	for _, c := range conditions {
		v := s.values[c.Key]
		v.Key = c.Key
		out = append(out, v)
	}
	return out
}

func (s *Store) remove(key string) {
	delete(s.values, key)
	s.revision++
	s.publish(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) publish(e item) {
	s.events = append(s.events, e)
	if len(s.events) > 2*keptEvents {
		s.events = append([]item{}, s.events[keptEvents:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, v := range s.values {
			if v.Lease == id {
				s.remove(key)
			}
		}
	}
}

// Grant grants a lease, which ends after ttl unless it is renewed.
func (s *Store) Grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted++
	s.leases[s.granted] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return s.granted
}

func (s *Store) renew(id int64) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	l, ok := s.leases[id]
	if !ok {
		return 0, store.ErrNotFound
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	return l.ttl, nil
}

func (s *Store) revoke(id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return store.ErrNotFound
	}
	l.expires = time.Time{}
	s.leases[id] = l
	s.expire(time.Now())
	return nil
}

// history is what a watch gets.
type history struct {
	events   []item
	revision store.Position
	// lost is set if the events after the revision are not known.
	lost bool
	// changed closes at the next change.
	changed <-chan struct{}
}

// after returns the events below prefix after a revision.
func (s *Store) after(prefix string, revision store.Position) history {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	out := history{events: []item{}, revision: s.revision, changed: s.changed}
	if revision > s.revision || len(s.events) > 0 && revision < s.events[0].Revision-1 && s.events[0].Revision > 1001 {
		out.lost = true
		return out
	}
	for _, e := range s.events {
		if e.Revision > revision && strings.HasPrefix(e.Key, prefix) {
			out.events = append(out.events, e)
		}
	}
	return out
}

// SetVM adds a VM to the list, or marks it as leaving.
func (s *Store) SetVM(v vm.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.vms[v.Name]
	if ok && old.vm == v {
		return
	}
	s.vms[v.Name] = listedVM{vm: v, seen: time.Now()}
}

func (s *Store) removeVM(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, name)
}

func (s *Store) listVMs() []vm.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := []vm.VM{}
	for _, l := range s.vms {
		if time.Since(l.seen) >= s.lag {
			vms = append(vms, l.vm)
		}
	}
	return vms
}

// Set writes a key as the operator or a target does, who are not bound by
// conditions.
func (s *Store) Set(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(write{key: key, data: data})
}

// Remove takes a key away as its writer does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.values[key]; ok {
		s.remove(key)
	}
}

// Value returns the value of a key; nil if it does not exist.
func (s *Store) Value(key string) []byte {
	v, _, err := s.get(key)
	if err != nil {
		return nil
	}
	return v.Value
}
