package stage

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is a client attempt.
type Request struct {
	ID, Method, Path string
	// Body is sent with a length.
	Body     []byte
	Deadline time.Duration
	// Patience is how long the client waits for the first byte of the answer; 0 waits until the
	// deadline.
	Patience time.Duration
	// Prompt has the headers of a prompt sent.
	Prompt bool
	// Header are more header lines.
	Header string
}

// Answer is what a client saw of an attempt.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err is nil if the answer was complete.
	Err error
	// Read is set once the whole request was sent; Began once the first byte of an answer came.
	Sent, Began bool
	// GaveUp is set if the client left.
	GaveUp bool
	// Kept is set if the connection had carried a request before.
	Kept            bool
	SentAt, EndedAt time.Time
}

// Client keeps connections to one entry, as many as it needs at once.
type Client struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn
}

type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used int
	at   time.Time
}

// NewClient returns a client of an entry.
func NewClient(e *Entry) *Client { return &Client{address: e.Front} }

func (c *Client) take() (*clientConn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		// Connections that have been idle for up to four fifths of idle_timeout_ms are used again.
		if time.Since(conn.at) < 12*time.Second {
			c.mu.Unlock()
			return conn, nil
		}
		conn.Close()
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}, nil
}

func (c *Client) give(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.at = time.Now()
	c.idle = append(c.idle, conn)
}

// head returns the header of a request.
func (r *Request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nKey: %s\r\n", r.Method, r.Path, Host, r.ID, r.Deadline.Milliseconds(), Key)
	if r.Prompt {
		fmt.Fprintf(&b, "Model: %s\r\nToken-Count: 1460,80\r\nPrefix-Hash: 5c1e07a2:800,91bd3f06:410,%08x:250\r\n", Model, idNumber(r.ID))
	}
	if r.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	return b.String() + r.Header + "\r\n"
}

func idNumber(id string) uint32 {
	n, _ := strconv.ParseUint(id[max(0, len(id)-8):], 16, 32)
	return uint32(n)
}

// Send sends a request on a kept connection if there is one, and reads the answer.
func (c *Client) Send(r *Request) (a Answer) {
	a.SentAt = time.Now()
	defer func() { a.EndedAt = time.Now() }()
	conn, err := c.take()
	if err != nil {
		a.Err = err
		return a
	}
	a.Kept = conn.used > 0
	conn.used++
	whole := false
	defer func() {
		if whole {
			c.give(conn)
		} else {
			conn.Close()
		}
	}()
	deadline := a.SentAt.Add(r.Deadline)
	first := deadline
	if r.Patience > 0 {
		first = a.SentAt.Add(r.Patience)
	}
	_ = conn.SetDeadline(first)
	if _, a.Err = conn.Write([]byte(r.head())); a.Err == nil && len(r.Body) > 0 {
		_, a.Err = conn.Write(r.Body)
	}
	if a.Err != nil {
		a.GaveUp = isTimeout(a.Err)
		return a
	}
	a.Sent = true
	if _, a.Err = conn.in.Peek(1); a.Err != nil {
		a.GaveUp = isTimeout(a.Err)
		return a
	}
	a.Began = true
	_ = conn.SetDeadline(deadline)
	resp, err := http.ReadResponse(conn.in, &http.Request{Method: r.Method})
	if err != nil {
		a.Err, a.GaveUp = err, isTimeout(err)
		return a
	}
	a.Status, a.Header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.Body, a.Err, a.GaveUp = string(body), err, isTimeout(err)
	whole = err == nil && !resp.Close
	return a
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}
