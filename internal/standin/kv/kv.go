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

type value struct {
	data     []byte
	revision store.Position
	lease    int64
}

type listedVM struct {
	vm   vm.VM
	seen time.Time
}

// Store is the stand-in's state.
type Store struct {
	mu       sync.Mutex
	revision store.Position
	values   map[string]value
	leases   map[int64]lease
	granted  int64
	events   []store.Event
	changed  chan struct{}
	vms      map[string]listedVM
	lag      time.Duration
}

// NewStore returns an empty store whose list of VMs lags by lag.
func NewStore(lag time.Duration) *Store {
	return &Store{
		// Unlike 0, a start in the thousands shows up code that takes 0 for "none".
		revision: 1000,
		values:   map[string]value{},
		leases:   map[int64]lease{},
		changed:  make(chan struct{}),
		vms:      map[string]listedVM{},
		lag:      lag,
	}
}

func (s *Store) get(key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	v, ok := s.values[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return store.Entry{Key: key, Value: v.data, Revision: v.revision}, nil
}

func (s *Store) list(prefix string) store.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	l := store.Listing{Revision: s.revision}
	for key, v := range s.values {
		if strings.HasPrefix(key, prefix) {
			l.Entries = append(l.Entries, store.Entry{Key: key, Value: v.data, Revision: v.revision})
		}
	}
	return l
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
	conditions []store.Entry
	puts       []write
	removes    []string
}

func (s *Store) commit(c change) (store.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	for _, condition := range c.conditions {
		if s.values[condition.Key].revision != condition.Revision {
			return 0, &conflict{current: s.entries(c.conditions)}
		}
	}
	for _, p := range c.puts {
		if _, ok := s.leases[p.lease]; p.lease != 0 && !ok {
			return 0, store.ErrNotFound
		}
	}
	for _, p := range c.puts {
		s.revision++
		s.values[p.key] = value{data: p.data, revision: s.revision, lease: p.lease}
		s.publish(store.Event{Entry: store.Entry{Key: p.key, Value: p.data, Revision: s.revision}})
	}
	for _, key := range c.removes {
		if _, ok := s.values[key]; ok {
			s.remove(key)
		}
	}
	return s.revision, nil
}

// conflict is store.ErrConflict with the entries of the conditions' keys, in their order.
type conflict struct {
	current []store.Entry
}

func (c *conflict) Error() string { return store.ErrConflict.Error() }

func (c *conflict) Unwrap() error { return store.ErrConflict }

// entries returns the current entries of the conditions' keys; a missing one has revision 0.
// The caller holds mu.
func (s *Store) entries(conditions []store.Entry) []store.Entry {
	var out []store.Entry
	for _, c := range conditions {
		v := s.values[c.Key]
		out = append(out, store.Entry{Key: c.Key, Value: v.data, Revision: v.revision})
	}
	return out
}

func (s *Store) remove(key string) {
	delete(s.values, key)
	s.revision++
	s.publish(store.Event{Entry: store.Entry{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Store) publish(e store.Event) {
	s.events = append(s.events, e)
	if len(s.events) > 2*keptEvents {
		s.events = append([]store.Event{}, s.events[keptEvents:]...)
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
			if v.lease == id {
				s.remove(key)
			}
		}
	}
}

func (s *Store) grant(ttl time.Duration) int64 {
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

// after returns the events below prefix after a revision, and a channel that
// closes at the next change.
func (s *Store) after(prefix string, revision store.Position) (store.Events, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	out := store.Events{Revision: s.revision}
	if len(s.events) > 0 && revision < s.events[0].Revision-1 && s.events[0].Revision > 1001 {
		out.Compacted = true
		return out, s.changed
	}
	for _, e := range s.events {
		if e.Revision > revision && strings.HasPrefix(e.Key, prefix) {
			out.Events = append(out.Events, e)
		}
	}
	return out, s.changed
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
	s.revision++
	s.values[key] = value{data: data, revision: s.revision}
	s.publish(store.Event{Entry: store.Entry{Key: key, Value: data, Revision: s.revision}})
}

// Remove takes a key away as its writer does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.values[key]; ok {
		s.remove(key)
	}
}
