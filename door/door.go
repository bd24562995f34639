// Package door serves HTTP at an address and ends in order: each request that
// was read gets its answer, and no connection is closed while one may be on it.
//
// The HTTP server's own shutdown does not do that. It looks at whether it shuts
// down after it has read a request's head, and ends the connection without a
// word; it closes connections by states that change some time after bytes were
// read; and it closes its listener with connections waiting in the kernel's
// queue. Where clients keep coming, each of these leaves a client that has sent
// a whole request with neither an answer nor a refusal.
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

// Telemetry is where a door tells of itself.
type Telemetry struct {
	Log logrus.FieldLogger
	// Unanswered, where set, counts connections closed with a request read and
	// nothing answered.
	Unanswered prometheus.Counter
}

// Server is one address that is served.
type Server struct {
	server   *http.Server
	listener *listener
	conns    *conns
	// closed ends once the listener has.
	closed chan struct{}
}

// Start serves an address with a server, whose ConnState the door takes over.
func Start(address string, server *http.Server, w Telemetry) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w; another process may hold the port", err)
	}
	s := &conns{watch: w, open: map[*conn]struct{}{}}
	d := &Server{server: server, conns: s, closed: make(chan struct{}), listener: &listener{TCPListener: l.(*net.TCPListener), conns: s}}
	server.ConnState = s.note
	go func() {
		defer close(d.closed)
		_ = server.Serve(d.listener)
	}()
	return d, nil
}

// Address returns IP:PORT.
func (d *Server) Address() string {
	return d.listener.Addr().String()
}

// Close ends the door at once.
func (d *Server) Close() error {
	return d.server.Close()
}

// ShutdownOptions is how a door ends.
type ShutdownOptions struct {
	// AnswerDeadline is until when requests may take; then Interrupt is called, upon
	// which each request still served is to get its last answer.
	AnswerDeadline time.Time
	Interrupt      func()
	// Deadline is when the door ends in any case.
	Deadline time.Time
}

// look is the pause between two looks at the connections: short beside the time
// that an idle one still gets.
const look = 20 * time.Millisecond

// Shutdown ends the door in order and reports whether all requests were answered in
// their own time. New connections are refused from now on, which a balancer takes
// for a word to try another process; what has come on open ones, or is on its
// way on new ones, is served.
func (d *Server) Shutdown(e ShutdownOptions) bool {
	d.listener.end()
	<-d.closed
	d.conns.end()
	d.tell("door_closed", "no new connections are taken")
	whole := d.await(e.AnswerDeadline, func(t tally) bool { return t.open == t.framed })
	if whole {
		whole = d.endFramed(e.AnswerDeadline)
	}
	if !whole {
		d.tell("interrupted", "requests are given up: the time for answers is over")
		e.Interrupt()
		if d.await(e.Deadline, func(t tally) bool { return t.open == t.framed }) {
			d.endFramed(e.Deadline)
		}
	}
	_ = d.server.Close()
	return whole
}

func (d *Server) tell(event, what string) {
	d.conns.watch.Log.WithFields(d.conns.tally().fields(event)).Info(what)
}

// endFramed ends the connections of HTTP/2, where the server tells the client
// which requests it took. There must be no others: those the server would end
// in the middle of a request.
func (d *Server) endFramed(until time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	return d.server.Shutdown(ctx) == nil
}

// await looks at the connections until they are as wanted or a time has come,
// and reports whether they are.
func (d *Server) await(until time.Time, wanted func(tally) bool) bool {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	ticker := time.NewTicker(look)
	defer ticker.Stop()
	for !wanted(d.conns.tally()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// listener hands out connections that the door knows.
type listener struct {
	*net.TCPListener
	conns *conns

	mu sync.Mutex
	// bound is until when connections are handed out though they never pause;
	// zero until the end begins.
	bound time.Time
	// last is how long the next one is waited for, late how many such waits there
	// were beyond the bound.
	last lastWait
	late int
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		entered := time.Now()
		c, err := l.AcceptTCP()
		if err == nil {
			l.more(time.Now())
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

// Figures of the end of a listener.
const (
	// queueEmpty is for how long no connection came out of the kernel's queue once
	// the queue is taken for empty; one that waits there is handed out at once, so
	// this only covers the scheduler of a small machine.
	queueEmpty = 10 * time.Millisecond
	// queueBound is for how long at most: beyond some hundred connections a second
	// there may never be such a pause.
	queueBound = 300 * time.Millisecond
	// lateWaits is how many waits are repeated beyond that, for a process that
	// stood still over it.
	lateWaits = 3
)

// end makes the listener hand out what waits in the kernel's queue, and then
// end: connections left there would be reset with whole requests on them.
func (l *listener) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.bound = now.Add(queueBound)
	l.wait(now)
}

// more waits for the next connection once the end has begun.
func (l *listener) more(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.bound.IsZero() && now.Before(l.bound) {
		l.wait(now)
	}
}

// empty reports whether the queue is empty, after a wait that timed out. One that
// does not tell so is repeated.
func (l *listener) empty(entered, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.bound) {
		l.late++
	}
	if l.last.sound(entered, now) || l.late > lateWaits {
		return true
	}
	l.wait(now)
	return false
}

// wait bounds the next wait for a connection; the caller holds mu.
func (l *listener) wait(now time.Time) {
	l.last = lastWait{armed: now, until: now.Add(queueEmpty)}
	// A listener that can't be given a time has ended already.
	_ = l.SetDeadline(l.last.until)
}

// lastWait is a wait for something from the kernel that ends with a time-out. The
// runtime asks the kernel at the beginning of a wait and then waits to be told.
// After a time it says "timed out" without asking again: a process that stood
// still meanwhile, as one does whose quota of the processor is used up, would
// take what came in that time for not there.
type lastWait struct {
	armed, until time.Time
}

// Figures of last waits.
const (
	// lookFor is how long a repeated wait lasts: it asks at its beginning. It grows
	// by factors of two, longestLook of them, for a process that is always late.
	lookFor     = 10 * time.Millisecond
	longestLook = 6
	// punctual is how late a time-out is seen by a process that did not stand still.
	punctual = 2 * time.Millisecond
)

// sound reports whether a call that was entered at a moment and has timed out
// now tells that nothing was there: it asked the kernel under this wait, and was
// told of its end in time.
func (w lastWait) sound(entered, now time.Time) bool {
	return !entered.Before(w.armed) && entered.Before(w.until) && now.Sub(w.until) < punctual
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
