package door

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// conns are a door's open connections.
type conns struct {
	watch Watch

	mu       sync.Mutex
	open     map[*conn]struct{}
	accepted int
	// arrived is when a connection or bytes on one came last.
	arrived time.Time
	// ending is when the door's end began.
	ending time.Time
}

// conn is one connection. Whether a request on it is owed an answer follows
// from what passed over it: the HTTP server's own states change some time after
// the bytes were read, and a connection that is closed in between leaves its
// client with a whole request and nothing.
type conn struct {
	net.Conn
	conns *conns

	accepted time.Time
	// The fields below are guarded by conns.mu.
	readAt time.Time
	// owed are the bytes read since something was last written.
	owed int
	// serving is set while the server works on a request.
	serving bool
	// framed is set for HTTP/2, where bytes also come that need no answer; the
	// server's states tell of its requests.
	framed bool
	// left is set once the client has ended its side.
	left bool
}

func (s *conns) add(c net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	added := &conn{Conn: c, conns: s, accepted: now}
	s.open[added] = struct{}{}
	s.accepted++
	s.arrived = now
	return added
}

// http2Preface begins each connection of HTTP/2.
var http2Preface = []byte("PRI * HTTP/2")

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if n > 0 {
		c.took(p[:n], time.Now())
	}
	if err != nil && !isTimeout(err) {
		c.left = true
	}
	return n, err
}

// took notes bytes that came; the caller holds conns.mu.
func (c *conn) took(p []byte, now time.Time) {
	if c.readAt.IsZero() {
		c.framed = bytes.HasPrefix(p, http2Preface)
	}
	if c.owed == 0 && !c.conns.ending.IsZero() {
		// The rest of the request may take as long as it needs: without this the
		// time that an idle connection still has would cut it in the middle.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.owed += len(p)
	c.readAt = now
	c.conns.arrived = now
}

// SetReadDeadline implements net.Conn. The server gives each connection that
// becomes idle its idle timeout; once the door ends, it gets less.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	now := time.Now()
	if !c.conns.ending.IsZero() && c.idle(now) {
		t = now.Add(idleEnd)
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.conns.mu.Lock()
	c.owed = 0
	c.conns.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.conns.remove(c)
	return c.Conn.Close()
}

// Figures of connections at the end of a door.
const (
	// idleEnd is for how long an idle connection may still bring a request. It is
	// ended by the time-out of a read, which has read nothing.
	idleEnd = 50 * time.Millisecond
	// firstBytes is for how long a new connection is waited for: its client opened
	// it to send a request, whose bytes were seen to take 0.7 s over a busy link.
	firstBytes = 2 * time.Second
)

// busy reports whether somebody waits for an answer on a connection, or is
// about to; the caller holds conns.mu.
func (c *conn) busy(now time.Time) bool {
	if c.left {
		return c.serving
	}
	fresh := c.readAt.IsZero() && now.Sub(c.accepted) < firstBytes
	return c.serving || fresh || (c.owed > 0 && !c.framed)
}

// idle reports whether a connection waits for its client's next request; the
// caller holds conns.mu.
func (c *conn) idle(now time.Time) bool {
	return !c.busy(now) && !c.framed
}

// note takes the HTTP server's state of a connection.
func (s *conns) note(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.serving = state == http.StateActive
}

// remove notes the end of a connection. One that ends with a request read and
// the client still there is a request lost: that is logged and counted.
func (s *conns) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.open[c]; !ok {
		return
	}
	delete(s.open, c)
	if c.owed == 0 || c.framed || c.left {
		return
	}
	if s.watch.Unanswered != nil {
		s.watch.Unanswered.Inc()
	}
	fields := logrus.Fields{
		"event": "unanswered", "client": c.RemoteAddr().String(), "read_bytes": c.owed,
		"age_ms": time.Since(c.accepted).Milliseconds(), "quiet_ms": time.Since(c.readAt).Milliseconds(),
	}
	if !s.ending.IsZero() {
		fields["ending_ms"] = time.Since(s.ending).Milliseconds()
	}
	s.watch.Log.WithFields(fields).Warn("a connection was closed after bytes had come to which nothing was answered")
}

// tally is how the connections stand.
type tally struct {
	accepted, open, busy int
	arrived              time.Time
}

func (s *conns) tally() tally {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := tally{accepted: s.accepted, open: len(s.open), arrived: s.arrived}
	now := time.Now()
	for c := range s.open {
		if c.busy(now) {
			t.busy++
		}
	}
	return t
}

func (t tally) fields(event string) logrus.Fields {
	return logrus.Fields{"event": event, "accepted": t.accepted, "open": t.open, "busy": t.busy, "quiet_ms": time.Since(t.arrived).Milliseconds()}
}

// end lets the idle connections end, now and as more become idle. Clients take
// that for a word to connect anew, to a process that serves; a request that
// comes here late may have to be refused, which costs one of their attempts.
func (s *conns) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = time.Now()
	for c := range s.open {
		if c.idle(s.ending) {
			// A connection that fails here has ended already.
			_ = c.Conn.SetReadDeadline(s.ending.Add(idleEnd))
		}
	}
}
