package runner

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// newServer returns a started server whose requests know their connection. It uses an address of
// its own if l is nil.
func newServer(l net.Listener, h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	if l != nil {
		s.Listener.Close()
		s.Listener = l
	}
	s.Listener = lateListener{s.Listener}
	s.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.Start()
	return s
}

type lateListener struct{ net.Listener }

// Accept implements net.Listener.
func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: c}, nil
}

// lateConn is a connection on which additional bytes can be sent ahead of a response.
type lateConn struct {
	net.Conn
	mu sync.Mutex
	// requests counts the requests read, latest is the one that was read last.
	requests int
	latest   exchange
	ahead    ahead
}

// exchange is a request on a connection: its ID and the bytes of its response.
type exchange struct {
	id       string
	response []byte
}

// ahead is what precedes a response; sent, if set, is called once it has been written, with the
// first bytes of the response.
type ahead struct {
	bytes []byte
	sent  func(response []byte)
}

// Write implements net.Conn.
func (c *lateConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	first := c.ahead
	c.ahead = ahead{}
	c.latest.response = append(c.latest.response, p...)
	c.mu.Unlock()
	if len(first.bytes) > 0 {
		if _, err := c.Conn.Write(first.bytes); err != nil {
			return 0, err
		}
	}
	if first.sent != nil {
		first.sent(p)
	}
	return c.Conn.Write(p)
}

// SetLinger sets what becomes of unsent data when the connection is closed.
func (c *lateConn) SetLinger(seconds int) error {
	return c.Conn.(*net.TCPConn).SetLinger(seconds)
}

// beginRequest has what choose returns sent ahead of the response to a request. choose is given
// the number of earlier requests on the connection and the last of them.
func (c *lateConn) beginRequest(id string, choose func(earlier int, last exchange) ahead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead = choose(c.requests, c.latest)
	c.requests++
	c.latest = exchange{id: id}
}

// late is what a target sends ahead of the responses that are due.
type late struct {
	// every is after how many requests on reused connections the previous response is sent
	// once more; 0 is never. reused counts them.
	every, reused int
	// next is sent once, ahead of the next response on a reused connection.
	next string
	// firstEvery is on which new connections unnamedRefusal precedes the first response; 0 is
	// never. opened counts them.
	firstEvery, opened int
	// copies are the refusals that are sent once more.
	copies copies
	// sent counts the late responses, refusals those that state that the request did not run.
	sent, refusals int
}

// SendLate has the target send the previous response on a connection once more where a response
// is expected, at each n-th request on reused connections; 0 stops it.
func (r *Runner) SendLate(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late.every = n
}

// SendAhead has the target send raw bytes once, ahead of the next response on a connection that
// has carried others.
func (r *Runner) SendAhead(raw string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late.next = raw
}

// unnamedRefusal is a refusal that does not name its request.
const unnamedRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// SendUnnamedRefusal has the target send a refusal without a Request-Id ahead of the first
// response on each n-th new connection; 0 stops it.
func (r *Runner) SendUnnamedRefusal(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late.firstEvery = n
}

// LateSent returns how many late responses the target has sent.
func (r *Runner) LateSent() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.late.sent
}

// LateRefusals returns how many of the late responses state that the request did not run.
func (r *Runner) LateRefusals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.late.refusals
}

// beginRequest prepares the late response that precedes that to a request, if any.
func (r *Runner) beginRequest(req *http.Request) {
	c, ok := req.Context().Value(connKey{}).(*lateConn)
	if !ok {
		return
	}
	id := req.Header.Get("Request-Id")
	c.beginRequest(id, func(earlier int, last exchange) ahead {
		if earlier == 0 {
			return ahead{bytes: r.takeUnnamedRefusal()}
		}
		if late := r.takeLate(last.response); late != nil {
			return ahead{bytes: late}
		}
		return r.takeCopy(last, id)
	})
}

func (r *Runner) takeUnnamedRefusal() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &r.late
	l.opened++
	if l.firstEvery == 0 || l.opened%l.firstEvery != 0 {
		return nil
	}
	l.sent++
	l.refusals++
	return []byte(unnamedRefusal)
}

func (r *Runner) takeLate(last []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &r.late
	l.reused++
	switch {
	case l.next != "":
		last = []byte(l.next)
		l.next = ""
	case l.every == 0 || l.reused%l.every != 0:
		return nil
	}
	l.sent++
	if bytes.Contains(last, []byte("\r\nNot-Executed:")) {
		l.refusals++
	}
	return last
}
