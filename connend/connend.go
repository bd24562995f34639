// Package connend tells whether the end of a connection may be the end of a response, which it is for a
// body without length or chunks. A socket states a reset once: if a write takes it, a read after it
// returns io.EOF. And a peer that ends its side in order, without having the whole request, may reset the
// connection later.
package connend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrReset is the end of a connection that was reset where reading it returns io.EOF.
var ErrReset = fmt.Errorf("the connection ended, but not in order: %w", syscall.ECONNRESET)

// ErrUnread is the end of a connection whose peer ended its side in order and does not read the rest of
// the request.
var ErrUnread = fmt.Errorf("the peer ended its side of the connection and does not read the rest of the request: %w", syscall.ECONNABORTED)

// maxWait bounds how long the end of a connection waits for the request to be taken or refused by the
// peer: a few round trips and as much of a large body as a link takes meanwhile. pollInterval is how
// often the socket is asked, as it signals no acknowledgements.
const (
	maxWait      = 300 * time.Millisecond
	pollInterval = time.Millisecond
)

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dial function whose connections are Conns.
func Dial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(conn), nil
	}
}

// Conn is a connection of a client. Its Read returns io.EOF only if the peer ended its side in order and
// has got the whole request.
type Conn struct {
	net.Conn
	// begun counts the writes that have begun, writing those under way.
	begun   atomic.Int64
	writing atomic.Int64
	failed  atomic.Bool
	closed  atomic.Bool
	// request is the last request; nil for a connection whose requests are not tracked.
	request atomic.Pointer[progress]
}

// progress is how far a request has been written.
type progress struct {
	// begunBefore is the number of writes that had begun before the request.
	begunBefore int64
	written     atomic.Bool
}

// New returns a Conn over conn.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the connection below, as that of tls.Conn does.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SetLinger sets what Close does with unsent bytes; see net.TCPConn.
func (c *Conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.begun.Add(1)
	c.writing.Add(1)
	defer c.writing.Add(-1)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.end()
	}
	return n, err
}

// end returns io.EOF, or why the end of the connection is not in order.
func (c *Conn) end() error {
	for giveUp := time.Now().Add(maxWait); ; time.Sleep(pollInterval) {
		// The order matters: a reset discards what waits to be acknowledged.
		delivered := c.delivered()
		switch {
		case c.closed.Load():
			return net.ErrClosed
		case c.failed.Load(), c.socketClosed():
			return ErrReset
		case delivered:
			return io.EOF
		case time.Now().After(giveUp):
			return ErrUnread
		}
	}
}

// delivered reports whether the peer's kernel has got the whole request. Nothing of a request that has
// not begun need be waited for: the connection takes none any more.
func (c *Conn) delivered() bool {
	if r := c.request.Load(); r != nil && !r.written.Load() {
		return c.begun.Load() == r.begunBefore
	}
	return c.writing.Load() == 0 && c.unacknowledged() == 0
}

// socketClosed reports whether the kernel has closed the socket, as it does after a reset. After an
// orderly end by the peer alone it has not.
func (c *Conn) socketClosed() bool {
	state := uint8(0)
	c.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state == unix.BPF_TCP_CLOSE
}

// unacknowledged returns how many bytes the peer's kernel has not acknowledged.
func (c *Conn) unacknowledged() (n int) {
	c.control(func(fd int) {
		if queued, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	return n
}

// control calls f with the descriptor of the socket. There is none below other kinds of connections.
func (c *Conn) control(f func(fd int)) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := socket.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}

// Request tells the Conn that carries a request how far that has been written. Its methods are the
// functions of an httptrace.ClientTrace.
type Request struct {
	current atomic.Pointer[progress]
}

// GotConn begins the request on a connection that is a Conn, or is over one.
func (r *Request) GotConn(info httptrace.GotConnInfo) {
	p := &progress{}
	r.current.Store(p)
	if c := below(info.Conn); c != nil {
		p.begunBefore = c.begun.Load()
		c.request.Store(p)
	}
}

// WroteRequest records that the request has been written, except for its last few kilobytes, which the
// HTTP library may write right after that.
func (r *Request) WroteRequest(info httptrace.WroteRequestInfo) {
	if p := r.current.Load(); p != nil {
		p.written.Store(info.Err == nil)
	}
}

// below returns the Conn that conn is or is over, or nil.
func below(conn net.Conn) *Conn {
	for {
		switch c := conn.(type) {
		case *Conn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

// Track returns req with a trace that tells its Conn how far it has been written.
func Track(req *http.Request) *http.Request {
	var tracked Request
	trace := &httptrace.ClientTrace{GotConn: tracked.GotConn, WroteRequest: tracked.WroteRequest}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}
