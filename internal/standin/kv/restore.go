package kv

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"acaciakeel/store"
)

// Copy is a copy of the store's contents at a time.
type Copy struct {
	revision store.Position
	values   map[string]item
	leases   map[int64]copiedLease
	granted  int64
	events   []item
}

type copiedLease struct {
	ttl, remaining time.Duration
}

// Revision returns the store's revision when the copy was made.
func (c Copy) Revision() store.Position { return c.revision }

// Copy returns a copy of the contents.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	c := Copy{revision: s.revision, values: maps.Clone(s.values), leases: map[int64]copiedLease{}, granted: s.granted, events: slices.Clone(s.events)}
	for id, l := range s.leases {
		c.leases[id] = copiedLease{ttl: l.ttl, remaining: l.expires.Sub(now)}
	}
	return c
}

// Restore replaces the contents by those of a copy: what was acknowledged since is gone, and the
// revisions and leases after the copy's are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.values, s.granted, s.events = c.revision, maps.Clone(c.values), c.granted, slices.Clone(c.events)
	s.leases = map[int64]lease{}
	for id, l := range c.leases {
		s.leases[id] = lease{ttl: l.ttl, expires: time.Now().Add(l.remaining)}
	}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Era returns how many times the store was restored.
func (s *Store) Era() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Revision returns the store's revision.
func (s *Store) Revision() store.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Restore replaces the store's contents by those of a copy and cuts all connections.
func (s *Server) Restore(c Copy) {
	s.store.Restore(c)
	s.conns.cut()
}

// SetAway has the server cut all connections and each new one as it comes, until it is reset.
func (s *Server) SetAway(away bool) {
	s.conns.setAway(away)
	if away {
		s.conns.cut()
	}
}

// Listen returns a listener of connections that SetAway and Restore cut.
func (s *Server) Listen(l net.Listener) net.Listener {
	return listener{Listener: l, conns: &s.conns}
}

// connections are the open ones of a server.
type connections struct {
	mu   sync.Mutex
	away bool
	open map[*conn]bool
}

func (c *connections) setAway(away bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = away
}

func (c *connections) cut() {
	c.mu.Lock()
	open := slices.Collect(maps.Keys(c.open))
	c.mu.Unlock()
	for _, each := range open {
		each.Close()
	}
}

// add keeps a connection; it reports false if the server is away.
func (c *connections) add(added *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.away {
		return false
	}
	if c.open == nil {
		c.open = map[*conn]bool{}
	}
	c.open[added] = true
	return true
}

func (c *connections) remove(closed *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, closed)
}

type listener struct {
	net.Listener
	conns *connections
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		kept := &conn{Conn: c, of: l.conns}
		if l.conns.add(kept) {
			return kept, nil
		}
		c.Close()
	}
}

type conn struct {
	net.Conn
	of *connections
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.of.remove(c)
	return c.Conn.Close()
}
