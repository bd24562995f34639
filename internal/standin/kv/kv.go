// Package kv is a stand-in of the platform: its key-value service with
// compare-and-swap, leases and watches, and its lagging list of VMs.
package kv

import (
	"strings"
	"sync"
	"time"

	"acaciakeel/platform"
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
	revision int64
	lease    platform.LeaseID
}

type listedVM struct {
	vm   vm.VM
	seen time.Time
}

// Store is the stand-in's state.
type Store struct {
	mu       sync.Mutex
	revision int64
	values   map[string]value
	leases   map[platform.LeaseID]lease
	events   []platform.Event
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
		leases:   map[platform.LeaseID]lease{},
		changed:  make(chan struct{}),
		vms:      map[string]listedVM{},
		lag:      lag,
	}
}

func (s *Store) get(key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	v, ok := s.values[key]
	if !ok {
		return platform.Entry{}, platform.ErrNotFound
	}
	return platform.Entry{Key: key, Value: v.data, Revision: v.revision}, nil
}

func (s *Store) list(prefix string) platform.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	l := platform.Listing{Revision: s.revision}
	for key, v := range s.values {
		if strings.HasPrefix(key, prefix) {
			l.Entries = append(l.Entries, platform.Entry{Key: key, Value: v.data, Revision: v.revision})
		}
	}
	return l
}

func (s *Store) put(key string, data []byte, ifRevision int64, id platform.LeaseID) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if s.values[key].revision != ifRevision {
		return 0, platform.ErrConflict
	}
	if _, ok := s.leases[id]; id != "" && !ok {
		return 0, platform.ErrNotFound
	}
	s.revision++
	s.values[key] = value{data: data, revision: s.revision, lease: id}
	s.publish(platform.Event{Entry: platform.Entry{Key: key, Value: data, Revision: s.revision}})
	return s.revision, nil
}

func (s *Store) delete(key string, ifRevision int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	v, ok := s.values[key]
	if !ok {
		return 0, platform.ErrNotFound
	}
	if v.revision != ifRevision {
		return 0, platform.ErrConflict
	}
	s.remove(key)
	return s.revision, nil
}

func (s *Store) remove(key string) {
	delete(s.values, key)
	s.revision++
	s.publish(platform.Event{Entry: platform.Entry{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Store) publish(e platform.Event) {
	s.events = append(s.events, e)
	if len(s.events) > 2*keptEvents {
		s.events = append([]platform.Event{}, s.events[keptEvents:]...)
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

func (s *Store) grant(id platform.LeaseID, ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
}

func (s *Store) renew(id platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	l, ok := s.leases[id]
	if !ok {
		return platform.ErrNotFound
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	return nil
}

// after returns the events below prefix after a revision, and a channel that
// closes at the next change.
func (s *Store) after(prefix string, revision int64) (platform.Events, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	out := platform.Events{Revision: s.revision}
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
