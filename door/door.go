// Package door serves HTTP and shuts down gracefully: every request that was read gets a
// response, and no connection is closed while a request may be on it.
//
// http.Server.Shutdown does not guarantee that. It checks for a shutdown after reading a
// request's header and then closes the connection without a response; it closes connections
// by states that change some time after the bytes were read; and it closes the listener
// while connections wait in the kernel's accept queue. Under constant load, each of these
// leaves a client that has sent a complete request without any response.
package door

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Telemetry is where a Server logs and counts.
type Telemetry struct {
	Log logrus.FieldLogger
	// Unanswered, if set, counts connections that were closed after a request was read and
	// before a response was sent.
	Unanswered prometheus.Counter
}

// Server serves HTTP at one address.
type Server struct {
	server   *http.Server
	listener *listener
	conns    *connSet
	// closed is closed once the listener is.
	closed chan struct{}
}

// Start listens on an address and serves it with server, whose ConnState it replaces.
func Start(address string, server *http.Server, w Telemetry) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w; another process may be using the port", err)
	}
	s := &connSet{telemetry: w, open: map[*conn]struct{}{}}
	d := &Server{server: server, conns: s, closed: make(chan struct{}), listener: &listener{TCPListener: l.(*net.TCPListener), conns: s}}
	server.ConnState = s.onStateChange
	go func() {
		defer close(d.closed)
		_ = server.Serve(d.listener)
	}()
	return d, nil
}

// Address returns the listening address as IP:PORT.
func (d *Server) Address() string {
	return d.listener.Addr().String()
}

// Close closes the server and all connections at once.
func (d *Server) Close() error {
	return d.server.Close()
}

// ShutdownOptions are the options of Shutdown.
type ShutdownOptions struct {
	// AnswerDeadline is when requests must have been answered. Interrupt is called then; it
	// must make each request still in progress send its final response.
	AnswerDeadline time.Time
	Interrupt      func()
	// Deadline is when the server closes in any case.
	Deadline time.Time
}

// pollInterval is the interval between checks of the connections. It is short compared with
// idleGrace.
const pollInterval = 20 * time.Millisecond

// Shutdown shuts the server down and reports whether all requests were answered before
// AnswerDeadline. New connections are refused from now on, which makes a load balancer try
// another process. Requests on open connections and on those in the accept queue are served.
func (d *Server) Shutdown(options ShutdownOptions) bool {
	d.listener.drain()
	<-d.closed
	d.conns.startClosing()
	d.logCounts("door_closed", "listener closed; no new connections are accepted")
	complete := d.await(options.AnswerDeadline, func(t connCounts) bool { return t.open == t.http2 })
	if complete {
		complete = d.shutdownHTTP2(options.AnswerDeadline)
	}
	if !complete {
		d.logCounts("interrupted", "interrupting requests: the answer deadline has passed")
		options.Interrupt()
		if d.await(options.Deadline, func(t connCounts) bool { return t.open == t.http2 }) {
			d.shutdownHTTP2(options.Deadline)
		}
	}
	_ = d.server.Close()
	return complete
}

func (d *Server) logCounts(event, message string) {
	d.conns.telemetry.Log.WithFields(d.conns.counts().fields(event)).Info(message)
}

// shutdownHTTP2 closes the HTTP/2 connections, where the server tells the client which
// requests it accepted. There must be no other connections: the server would close those in
// the middle of a request.
func (d *Server) shutdownHTTP2(until time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	return d.server.Shutdown(ctx) == nil
}

// await polls the connections until done reports true or a deadline has passed, and reports
// whether it became true.
func (d *Server) await(until time.Time, done func(connCounts) bool) bool {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !done(d.conns.counts()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// listener adds accepted connections to conns.
type listener struct {
	*net.TCPListener
	conns *connSet

	mu sync.Mutex
	// drainUntil is when accepting ends even if connections keep arriving without a pause;
	// zero before the shutdown.
	drainUntil time.Time
	// deadline is the current accept deadline. lateWaits counts the waits after drainUntil.
	deadline  readDeadline
	lateWaits int
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		entered := time.Now()
		c, err := l.AcceptTCP()
		if err == nil {
			l.extend(time.Now())
			return l.conns.add(c), nil
		}
		if !isTimeout(err) {
			return nil, err
		}
		if l.empty(entered, time.Now()) {
			return nil, net.ErrClosed
		}
	}
}

// Limits of draining the listener.
const (
	// queueEmpty is the time without a new connection after which the accept queue counts as
	// empty. Waiting connections are returned at once, so this only covers scheduling delays
	// on a small VM.
	queueEmpty = 10 * time.Millisecond
	// queueBound limits the draining: above some hundred connections a second such a pause
	// may never occur.
	queueBound = 300 * time.Millisecond
	// maxLateWaits is how many waits are repeated after queueBound, for a process that was
	// stalled.
	maxLateWaits = 3
)

// drain makes the listener accept what waits in the accept queue and then close. Connections
// left there would be reset with complete requests on them.
func (l *listener) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.drainUntil = now.Add(queueBound)
	l.setDeadline(now)
}

// extend extends the accept deadline while the listener is drained.
func (l *listener) extend(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.drainUntil.IsZero() && now.Before(l.drainUntil) {
		l.setDeadline(now)
	}
}

// empty reports whether the queue is empty after a timeout. An inconclusive wait is
// repeated.
func (l *listener) empty(entered, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.drainUntil) {
		l.lateWaits++
	}
	if l.deadline.conclusive(entered, now) || l.lateWaits > maxLateWaits {
		return true
	}
	l.setDeadline(now)
	return false
}

// setDeadline sets the accept deadline; the caller holds mu.
func (l *listener) setDeadline(now time.Time) {
	l.deadline = readDeadline{armed: now, until: now.Add(queueEmpty)}
	// This only fails on a listener that is already closed.
	_ = l.SetDeadline(l.deadline.until)
}

// readDeadline is a deadline for a read or an accept. The runtime polls the kernel when the
// call starts and then waits for a notification. When the deadline passes it returns a
// timeout without polling again, so a process that was stalled meanwhile, for example by its
// CPU quota, would miss data that arrived in that time.
type readDeadline struct {
	armed, until time.Time
}

// Timing of repeated waits.
const (
	// retryWait is the length of a repeated wait, which polls when it starts. It doubles
	// with each retry, at most maxDoublings times, for a process that is always late.
	retryWait    = 10 * time.Millisecond
	maxDoublings = 6
	// maxLateness is how late a process that was not stalled sees a timeout.
	maxLateness = 2 * time.Millisecond
)

// conclusive reports whether a call that started at entered and has just timed out proves
// that nothing was there: it polled the kernel under this deadline, and the timeout was seen
// in time.
func (w readDeadline) conclusive(entered, now time.Time) bool {
	return !entered.Before(w.armed) && entered.Before(w.until) && now.Sub(w.until) < maxLateness
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
