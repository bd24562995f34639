// Package history is a stand-in, in memory, of the platform's key-value store whose contents can be
// replaced by an older copy, and of the clients that processes have of it.
package history

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"acaciakeel/store"
)

type value struct {
	data     []byte
	revision int64
	lease    string
}

// Copy is a copy of the contents of a Service.
type Copy struct {
	revision int64
	values   map[string]value
	leases   map[string]bool
}

// Service is the key-value service.
type Service struct {
	mu      sync.Mutex
	era     int
	granted int
	content Copy
	events  []store.Event
}

// NewService returns an empty service.
func NewService() *Service {
	return &Service{content: Copy{revision: 1000, values: map[string]value{}, leases: map[string]bool{}}}
}

func (c Copy) clone() Copy {
	return Copy{revision: c.revision, values: maps.Clone(c.values), leases: maps.Clone(c.leases)}
}

// Copy returns a copy of the contents.
func (s *Service) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.clone()
}

// Restore replaces the contents by a copy.
func (s *Service) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.content, s.events = c.clone(), nil
}

// Client is a process's client of a Service. It numbers the histories that it has seen.
type Client struct {
	// Blind clients do not notice by themselves that the history was replaced, but list again.
	Blind bool
	// NoWait ends watches without changes at once.
	NoWait  bool
	service *Service
	era     int
	number  int
	// told is set from AdvanceHistory until the next call: the replacement that the call shows is the
	// one that was told of.
	told bool
}

var _ store.Store = (*Client)(nil)

// NewClient returns the client of a process.
func (s *Service) NewClient() *Client { return &Client{service: s, era: s.era} }

// AdvanceHistory makes the number of the history at least number.
func (c *Client) AdvanceHistory(number int) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	if number > c.number {
		c.number, c.told = number, true
	}
}

// begin locks the service and notices a replaced history.
func (c *Client) begin() (s *Service, replaced bool) {
	c.service.mu.Lock()
	replaced = c.era != c.service.era
	c.era = c.service.era
	if replaced && !c.Blind && !c.told {
		c.number++
	}
	c.told = false
	return c.service, replaced
}

func (c *Client) entry(key string, v value) store.Entry {
	return store.Entry{Key: key, Value: v.data, Revision: store.At(c.number, v.revision)}
}

// Get implements store.Store.
func (c *Client) Get(_ context.Context, key string) (store.Entry, error) {
	s, _ := c.begin()
	defer s.mu.Unlock()
	v, ok := s.content.values[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return c.entry(key, v), nil
}

// List implements store.Store.
func (c *Client) List(_ context.Context, prefix string) (store.Listing, error) {
	s, _ := c.begin()
	defer s.mu.Unlock()
	at := store.At(c.number, s.content.revision)
	l := store.Listing{Revision: at, Through: at}
	for key, v := range s.content.values {
		if strings.HasPrefix(key, prefix) {
			l.Entries = append(l.Entries, c.entry(key, v))
		}
	}
	return l, nil
}

// fits reports whether a key has the revision that a write expects.
func (c *Client) fits(key string, ifRevision store.Position) bool {
	if ifRevision != 0 && ifRevision.History() != c.number {
		return false
	}
	return c.service.content.values[key].revision == ifRevision.Revision()
}

// Put implements store.Store.
func (c *Client) Put(_ context.Context, key string, data []byte, ifRevision store.Position, lease store.LeaseID) (store.Position, error) {
	s, _ := c.begin()
	defer s.mu.Unlock()
	if lease != "" && !s.content.leases[string(lease)] {
		return 0, store.ErrNotFound
	}
	if !c.fits(key, ifRevision) {
		return 0, store.ErrConflict
	}
	s.content.revision++
	s.content.values[key] = value{data: data, revision: s.content.revision, lease: string(lease)}
	s.events = append(s.events, store.Event{Entry: store.Entry{Key: key, Value: data, Revision: store.Position(s.content.revision)}})
	return store.At(c.number, s.content.revision), nil
}

// Delete implements store.Store.
func (c *Client) Delete(_ context.Context, key string, ifRevision store.Position) (store.Position, error) {
	s, _ := c.begin()
	defer s.mu.Unlock()
	if _, ok := s.content.values[key]; !ok {
		return 0, store.ErrNotFound
	}
	if !c.fits(key, ifRevision) {
		return 0, store.ErrConflict
	}
	delete(s.content.values, key)
	s.content.revision++
	s.events = append(s.events, store.Event{Entry: store.Entry{Key: key, Revision: store.Position(s.content.revision)}, Deleted: true})
	return store.At(c.number, s.content.revision), nil
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Position, wait time.Duration) (store.Events, error) {
	deadline := time.Now().Add(wait)
	for {
		events := c.after(prefix, after)
		if events.Compacted || len(events.Events) > 0 || c.NoWait || time.Now().After(deadline) {
			return events, nil
		}
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return store.Events{}, ctx.Err()
		}
	}
}

func (c *Client) after(prefix string, after store.Position) store.Events {
	s, replaced := c.begin()
	defer s.mu.Unlock()
	out := store.Events{Revision: store.At(c.number, s.content.revision)}
	out.Reconnected = replaced
	if replaced && !c.Blind || after.History() != c.number {
		out.Compacted = true
		return out
	}
	for _, e := range s.events {
		if e.Revision > store.Position(after.Revision()) && strings.HasPrefix(e.Key, prefix) {
			e.Revision = store.At(c.number, int64(e.Revision))
			out.Events = append(out.Events, e)
		}
	}
	return out
}

// Grant implements store.Store.
func (c *Client) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	s, _ := c.begin()
	defer s.mu.Unlock()
	s.granted++
	id := fmt.Sprint(s.granted)
	s.content.leases[id] = true
	return store.LeaseID(id), nil
}

// Renew implements store.Store.
func (c *Client) Renew(_ context.Context, id store.LeaseID) error {
	s, _ := c.begin()
	defer s.mu.Unlock()
	if !s.content.leases[string(id)] {
		return store.ErrNotFound
	}
	return nil
}

// Revoke implements store.Store.
func (c *Client) Revoke(_ context.Context, id store.LeaseID) error {
	s, _ := c.begin()
	defer s.mu.Unlock()
	delete(s.content.leases, string(id))
	for key, v := range s.content.values {
		if v.lease == string(id) {
			delete(s.content.values, key)
		}
	}
	return nil
}
