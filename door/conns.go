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
	watch Telemetry

	mu       sync.Mutex
	open     map[*conn]struct{}
	accepted int
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
	// head are the first bytes that came, as many as tell HTTP/2.
	head []byte
	// framed is set for HTTP/2, where bytes also come that need no answer, and
	// whose own end tells the client which requests were taken.
	framed bool
	// left is set once the client has ended its side.
	left bool
	// hung is set while an idle connection has its last time, last; looks counts
	// how often that was repeated.
	hung  bool
	last  lastWait
	looks int
	// answering is set from the first byte of an answer to the end of its request:
	// what the server still reads of that is owed nothing.
	answering bool
}

func (s *conns) add(c net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := &conn{Conn: c, conns: s, accepted: time.Now()}
	s.open[added] = struct{}{}
	s.accepted++
	return added
}

// http2Preface begins each connection of HTTP/2.
var http2Preface = []byte("PRI * HTTP/2")

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		entered := time.Now()
		n, err := c.Conn.Read(p)
		if n == 0 && isTimeout(err) && c.lookAgain(entered, time.Now()) {
			continue
		}
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
}

// lookAgain reports whether an idle connection whose last time is over is to be
// read once more, because the time-out does not tell that nothing had come.
func (c *conn) lookAgain(entered, now time.Time) bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if !c.hung || c.last.sound(entered, now) {
		return false
	}
	c.wait(now, lookFor<<min(c.looks, longestLook))
	c.looks++
	return true
}

// wait gives an idle connection a last time; the caller holds conns.mu.
func (c *conn) wait(now time.Time, d time.Duration) {
	c.last = lastWait{armed: now, until: now.Add(d)}
	// A connection that fails here has ended already.
	_ = c.Conn.SetReadDeadline(c.last.until)
}

// took notes bytes that came; the caller holds conns.mu.
func (c *conn) took(p []byte, now time.Time) {
	if missing := len(http2Preface) - len(c.head); missing > 0 {
		c.head = append(c.head, p[:min(missing, len(p))]...)
		c.framed = bytes.Equal(c.head, http2Preface)
	}
	c.unhang()
	c.owed += len(p)
	c.readAt = now
}

// unhang ends the last time of a connection on which a request has come, whose
// rest may take as long as it needs: it would be cut in the middle, or be told
// that its client has left. The caller holds conns.mu.
func (c *conn) unhang() {
	if c.hung {
		c.hung = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// SetReadDeadline implements net.Conn. The server gives each connection that
// becomes idle its idle timeout; once the door ends, it gets less.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.hang(time.Now())
	if c.hung {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.conns.mu.Lock()
	c.owed, c.answering = 0, true
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
	// ended by the time-out of a read, which has read nothing: a connection closed
	// from outside may just have been read.
	idleEnd = 50 * time.Millisecond
	// firstBytes is for how long a new connection is waited for: its client opened
	// it to send a request, whose bytes were seen to take 0.7 s over a busy link.
	firstBytes = 2 * time.Second
)

// idle reports whether a connection waits for its client's next request, and
// nobody for an answer on it; the caller holds conns.mu.
func (c *conn) idle(now time.Time) bool {
	if c.serving || c.framed {
		return false
	}
	fresh := c.readAt.IsZero() && now.Sub(c.accepted) < firstBytes
	return c.left || (!fresh && c.owed == 0)
}

// hang gives an idle connection its last time, once, if the door ends; the caller
// holds conns.mu.
func (c *conn) hang(now time.Time) {
	if c.conns.ending.IsZero() || c.hung || !c.idle(now) {
		return
	}
	c.hung = true
	c.wait(now, idleEnd)
}

// CloseWrite ends the sending side, as the server does after an answer that
// leaves a part of the request unread.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
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
	if state == http.StateActive || state == http.StateIdle {
		c.answering = false
	}
	if c.serving {
		// Its request may have been read along with the one before.
		c.unhang()
	}
}

// remove notes the end of a connection. One that ends with a request read and
// the client still there is a request lost: that is logged and counted.
func (s *conns) remove(c *conn) {
	fields := s.take(c)
	if fields == nil {
		return
	}
	if s.watch.Unanswered != nil {
		s.watch.Unanswered.Inc()
	}
	s.watch.Log.WithFields(fields).Warn("a connection was closed after bytes had come to which nothing was answered")
}

// take takes a connection out, and returns what is to be said of it if a request
// is lost with it.
func (s *conns) take(c *conn) logrus.Fields {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, open := s.open[c]
	delete(s.open, c)
	if !open || c.owed == 0 || c.framed || c.left || c.answering {
		return nil
	}
	fields := logrus.Fields{
		"event": "unanswered", "client": c.RemoteAddr().String(), "read_bytes": c.owed,
		"age_ms": time.Since(c.accepted).Milliseconds(), "quiet_ms": time.Since(c.readAt).Milliseconds(),
	}
	if !s.ending.IsZero() {
		fields["ending_ms"] = time.Since(s.ending).Milliseconds()
	}
	return fields
}

// tally is how the connections stand.
type tally struct {
	accepted, open, framed, idle int
}

// tally counts the connections, and gives those that became idle their last
// time once the door ends. Clients take that for a word to connect anew, to a
// process that serves; a request that comes here late may have to be refused,
// which costs one of their attempts.
func (s *conns) tally() tally {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := tally{accepted: s.accepted, open: len(s.open)}
	now := time.Now()
	for c := range s.open {
		c.hang(now)
		if c.framed {
			t.framed++
		} else if c.idle(now) {
			t.idle++
		}
	}
	return t
}

func (t tally) fields(event string) logrus.Fields {
	return logrus.Fields{"event": event, "accepted": t.accepted, "open": t.open, "idle": t.idle}
}

// end begins the end of idle connections.
func (s *conns) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = time.Now()
}
