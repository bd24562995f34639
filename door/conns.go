package door

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// connSet holds a server's open connections.
type connSet struct {
	telemetry Telemetry

	mu       sync.Mutex
	open     map[*conn]struct{}
	accepted int
	// closingSince is when the shutdown began to close idle connections; zero before.
	closingSince time.Time
}

// conn is one connection. Whether a request on it still needs a response is derived from the
// bytes read and written. net/http's own connection states change some time after the bytes
// were read; a connection closed in between leaves its client with a complete request and no
// response.
type conn struct {
	net.Conn
	conns *connSet
	// writes is used by Writable alone.
	writes *writePoll

	accepted time.Time
	// The fields below are guarded by conns.mu.
	readAt time.Time
	// unanswered is the number of bytes read since something was last written.
	unanswered int
	// active is set while the server handles a request.
	active bool
	// preface holds the first bytes received, as many as are needed to detect HTTP/2.
	preface []byte
	// http2 is set for HTTP/2. Some of its frames need no response, and its own shutdown
	// tells the client which requests were accepted.
	http2 bool
	// clientClosed is set once the client has closed its side.
	clientClosed bool
	// idleLimited is set while an idle connection has its final read deadline.
	idleLimited bool
	// answering is set from the first byte of a response to the end of its request: what the
	// server still reads of that request needs no response.
	answering bool
}

func (s *connSet) add(c net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := &conn{Conn: c, conns: s, accepted: time.Now()}
	s.open[added] = struct{}{}
	s.accepted++
	return added
}

// http2Preface starts each HTTP/2 connection.
var http2Preface = []byte("PRI * HTTP/2")

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n == 0 && isTimeout(err) && c.extendDeadline(time.Now()) {
			continue
		}
		c.conns.mu.Lock()
		defer c.conns.mu.Unlock()
		if n > 0 {
			c.received(p[:n], time.Now())
		}
		if err != nil && !isTimeout(err) {
			c.clientClosed = true
		}
		return n, err
	}
}

// extendDeadline extends the final deadline of an idle connection that has data to be read,
// and reports whether it did.
func (c *conn) extendDeadline(now time.Time) bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	socket, ok := c.Conn.(syscall.Conn)
	if !c.idleLimited || !ok || !readable(socket) {
		return false
	}
	c.setDeadline(now.Add(rereadTime))
	return true
}

// setDeadline sets the final read deadline of an idle connection; the caller holds conns.mu.
func (c *conn) setDeadline(until time.Time) {
	// This only fails on a connection that is already closed.
	_ = c.Conn.SetReadDeadline(until)
}

// received records received bytes; the caller holds conns.mu.
func (c *conn) received(p []byte, now time.Time) {
	if missing := len(http2Preface) - len(c.preface); missing > 0 {
		c.preface = append(c.preface, p[:min(missing, len(p))]...)
		c.http2 = bytes.Equal(c.preface, http2Preface)
	}
	c.clearDeadline()
	c.unanswered += len(p)
	c.readAt = now
}

// clearDeadline removes the final read deadline once a request has arrived, whose rest may
// take as long as it needs. Otherwise the request would be cut off, or its context cancelled
// as if the client had left. The caller holds conns.mu.
func (c *conn) clearDeadline() {
	if c.idleLimited {
		c.idleLimited = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// SetReadDeadline implements net.Conn. The server calls it with its idle timeout when a
// connection becomes idle; during a shutdown a shorter one applies.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.limitIdle(time.Now())
	if c.idleLimited {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.conns.mu.Lock()
	c.unanswered, c.answering = 0, true
	c.conns.mu.Unlock()
	return c.Conn.Write(p)
}

// Writable reports whether the connection accepts a few kilobytes without blocking. It must
// not be called concurrently with itself.
func (c *conn) Writable() bool {
	if c.writes == nil {
		socket, ok := c.Conn.(syscall.Conn)
		if !ok {
			return false
		}
		writes, err := newWritePoll(socket)
		if err != nil {
			return false
		}
		c.writes = writes
	}
	return c.writes.writable()
}

// ClientLeft reports whether the client has closed or reset the connection, also if the server has
// not noticed that yet.
func (c *conn) ClientLeft() bool {
	socket, ok := c.Conn.(syscall.Conn)
	return ok && hungUp(socket)
}

// SetLinger sets what Close does with unsent bytes; see net.TCPConn.
func (c *conn) SetLinger(sec int) error {
	if lingering, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return lingering.SetLinger(sec)
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.conns.remove(c)
	return c.Conn.Close()
}

// Timeouts of connections during a shutdown.
const (
	// idleGrace is how long an idle connection may still receive a request. It ends by a
	// read timeout, after which nothing has been read; closing the connection directly could
	// discard a request that was just read.
	idleGrace = 50 * time.Millisecond
	// rereadTime is how long a read may take that is repeated because data has arrived. The
	// read returns at once if it starts within that time, and is repeated otherwise.
	rereadTime = 10 * time.Millisecond
	// firstByteGrace is how long a new connection is kept without data: its client opened it
	// to send a request, whose bytes can take 0.7 s over a busy link.
	firstByteGrace = 2 * time.Second
)

// idle reports whether a connection waits for its client's next request and has no response
// pending; the caller holds conns.mu.
func (c *conn) idle(now time.Time) bool {
	if c.active || c.http2 {
		return false
	}
	fresh := c.readAt.IsZero() && now.Sub(c.accepted) < firstByteGrace
	return c.clientClosed || (!fresh && c.unanswered == 0)
}

// limitIdle sets the final read deadline of an idle connection, once, during a shutdown; the
// caller holds conns.mu.
func (c *conn) limitIdle(now time.Time) {
	if c.conns.closingSince.IsZero() || c.idleLimited || !c.idle(now) {
		return
	}
	c.idleLimited = true
	c.setDeadline(now.Add(idleGrace))
}

// CloseWrite closes the sending side, which the server does after a response that leaves a
// part of the request unread.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// onStateChange receives the HTTP server's state of a connection.
func (s *connSet) onStateChange(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.active = state == http.StateActive
	if state == http.StateActive || state == http.StateIdle {
		c.answering = false
	}
	if c.active {
		// The request may have been read together with the previous one.
		c.clearDeadline()
	}
}

// remove removes a closed connection. A connection that closes with a request read, no
// response written and the client still connected has lost a request, which is logged and
// counted.
func (s *connSet) remove(c *conn) {
	fields := s.takeOut(c)
	if fields == nil {
		return
	}
	if s.telemetry.Unanswered != nil {
		s.telemetry.Unanswered.Inc()
	}
	s.telemetry.Log.WithFields(fields).Warn("connection closed after a request was received and before a response was sent")
}

// takeOut removes a connection, and returns the log fields if a request is lost with it.
func (s *connSet) takeOut(c *conn) logrus.Fields {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, open := s.open[c]
	delete(s.open, c)
	if !open || c.unanswered == 0 || c.http2 || c.clientClosed || c.answering {
		return nil
	}
	fields := logrus.Fields{
		"event": "unanswered", "client": c.RemoteAddr().String(), "read_bytes": c.unanswered,
		"age_ms": time.Since(c.accepted).Milliseconds(), "quiet_ms": time.Since(c.readAt).Milliseconds(),
	}
	if !s.closingSince.IsZero() {
		fields["ending_ms"] = time.Since(s.closingSince).Milliseconds()
	}
	return fields
}

// connCounts holds numbers of connections.
type connCounts struct {
	accepted, open, http2, idle int
}

// counts counts the connections, and during a shutdown sets the final deadline of those that
// became idle. Their clients then reconnect to a process that still serves; a request that
// arrives here too late may be refused, which costs the client one of its attempts.
func (s *connSet) counts() connCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := connCounts{accepted: s.accepted, open: len(s.open)}
	now := time.Now()
	for c := range s.open {
		c.limitIdle(now)
		if c.http2 {
			t.http2++
		} else if c.idle(now) {
			t.idle++
		}
	}
	return t
}

func (t connCounts) fields(event string) logrus.Fields {
	return logrus.Fields{"event": event, "accepted": t.accepted, "open": t.open, "idle": t.idle}
}

// maxRoundTrip returns the longest round-trip time of the open connections.
func (s *connSet) maxRoundTrip() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := time.Duration(0)
	for c := range s.open {
		if socket, ok := c.Conn.(syscall.Conn); ok {
			longest = max(longest, roundTrip(socket))
		}
	}
	return longest
}

// startClosing starts to close idle connections.
func (s *connSet) startClosing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closingSince = time.Now()
}
