package node

import (
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"acaciakeel/telemetry"
)

// clients knows the connections that clients opened to a door, by what passed
// over each: the HTTP server tells of a request only once it has read and
// decoded its head, and of a connection that ends before that, nothing.
type clients struct {
	log logrus.FieldLogger
	// unanswered counts connections that the node closed after bytes had come
	// to which nothing was answered.
	unanswered *prometheus.CounterVec

	mu       sync.Mutex
	open     map[*clientConn]struct{}
	accepted int
	stopped  time.Time
}

func newClients(reg *prometheus.Registry, log logrus.FieldLogger) *clients {
	return &clients{
		log:        log,
		unanswered: telemetry.NewCounter(reg, "keel_node_connections_unanswered_total", "Connections closed after bytes had come to which nothing was answered."),
		open:       map[*clientConn]struct{}{},
	}
}

// clientListener hands out connections that clients knows.
type clientListener struct {
	net.Listener
	clients *clients
}

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: conn, clients: l.clients, accepted: time.Now()}
	l.clients.mu.Lock()
	defer l.clients.mu.Unlock()
	l.clients.accepted++
	l.clients.open[c] = struct{}{}
	return c, nil
}

// clientConn is one client's connection.
type clientConn struct {
	net.Conn
	clients  *clients
	accepted time.Time

	mu sync.Mutex
	// owed are the bytes read since something was last written: of a request
	// without any answer yet.
	owed   int
	readAt time.Time
	closed bool
	// left is set once the client has ended its side.
	left bool
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.owed += n
		c.readAt = time.Now()
	}
	if err != nil && !isTimeout(err) {
		c.left = true
	}
	return n, err
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.owed = 0
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.clients.ended(c)
	return err
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// ended notes the end of a connection; one that ends in the middle of a request
// with the client still there is a request lost.
func (s *clients) ended(c *clientConn) {
	s.mu.Lock()
	delete(s.open, c)
	stopped := s.stopped
	s.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.left || c.owed == 0 {
		c.closed = true
		return
	}
	c.closed = true
	s.unanswered.WithLabelValues().Inc()
	fields := logrus.Fields{"event": "unanswered", "client": c.RemoteAddr().String(), "read_bytes": c.owed, "age_ms": time.Since(c.accepted).Milliseconds(), "quiet_ms": time.Since(c.readAt).Milliseconds()}
	if !stopped.IsZero() {
		fields["stopping_ms"] = time.Since(stopped).Milliseconds()
	}
	s.log.WithFields(fields).Warn("a connection was closed after bytes had come to which nothing was answered")
}

// tally counts connections for the log of a stop.
func (s *clients) tally() logrus.Fields {
	s.mu.Lock()
	defer s.mu.Unlock()
	quiet, owed := 0, 0
	for c := range s.open {
		c.mu.Lock()
		if c.owed > 0 {
			owed++
		} else {
			quiet++
		}
		c.mu.Unlock()
	}
	return logrus.Fields{"accepted": s.accepted, "open": len(s.open), "owed": owed, "quiet": quiet}
}

// stopping notes that a planned stop has begun.
func (s *clients) stopping() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = time.Now()
}
