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
	d := &Server{server: server, conns: s, closed: make(chan struct{}), listener: newListener(l.(*net.TCPListener), s)}
	server.ConnState = s.onStateChange
	go func() {
		defer close(d.closed)
		_ = server.Serve(d.listener)
	}()
	return d, nil
}

// RefuseNew has new connections closed unread while active returns true; onRefused is called for
// each of them. Open connections are served as before.
func (d *Server) RefuseNew(active func() bool, onRefused func()) {
	d.listener.refuseNew.Store(&connRefusal{active: active, onRefused: onRefused})
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
	// AnswerTime is how long one final response may take. Where those of all requests in progress
	// take longer than from AnswerDeadline to Deadline, Interrupt is called earlier, but not before
	// EarliestInterrupt. 0 sets no such time.
	AnswerTime        time.Duration
	EarliestInterrupt time.Time
	// Deadline is when the server closes in any case.
	Deadline time.Time
}

// mustInterrupt reports whether the final responses of all requests in progress take the time that is
// left.
func (o *ShutdownOptions) mustInterrupt(t connCounts, now time.Time) bool {
	inProgress := t.open - t.idle - t.http2
	return !now.Before(o.EarliestInterrupt) && now.Add(time.Duration(inProgress)*o.AnswerTime).After(o.Deadline)
}

// pollInterval is the interval between checks of the connections. It is short compared with
// idleGrace.
const pollInterval = 20 * time.Millisecond

// Shutdown shuts the server down and reports whether all requests were answered before
// AnswerDeadline. New connections are refused from now on, which makes a load balancer try
// another process. Requests on open connections and on those in the accept queue are served.
func (d *Server) Shutdown(options ShutdownOptions) bool {
	d.listener.drain()
	select {
	case <-d.listener.refusing:
	case <-d.closed:
	}
	d.conns.startClosing()
	d.logCounts("door_closed", "new connections are refused")
	_ = d.await(options.AnswerDeadline, func(t connCounts) bool { return d.allAnswered(t) || options.mustInterrupt(t, time.Now()) })
	complete := d.allAnswered(d.conns.counts())
	if complete {
		complete = d.shutdownHTTP2(options.AnswerDeadline)
	}
	if !complete {
		d.logCounts("interrupted", "interrupting requests: it is time for their final responses")
		options.Interrupt()
		if d.await(options.Deadline, d.allAnswered) {
			d.shutdownHTTP2(options.Deadline)
		}
	}
	_ = d.server.Close()
	return complete
}

// allAnswered reports whether no more connections can arrive and only HTTP/2 connections are
// open.
func (d *Server) allAnswered(t connCounts) bool {
	select {
	case <-d.closed:
		return t.open == t.http2
	default:
		return false
	}
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

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
