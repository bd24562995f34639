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
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Watch is where a door tells of itself.
type Watch struct {
	Log logrus.FieldLogger
	// Unanswered, where set, counts connections closed with a request read and
	// nothing answered.
	Unanswered prometheus.Counter
}

// Door is one address that is served.
type Door struct {
	server   *http.Server
	listener *listener
	conns    *conns
	// closed ends once the listener has.
	closed chan struct{}
}

// Open serves an address with a server, whose ConnState the door takes over.
func Open(address string, server *http.Server, w Watch) (*Door, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w; another process may hold the port", err)
	}
	s := &conns{watch: w, open: map[*conn]struct{}{}}
	d := &Door{server: server, conns: s, closed: make(chan struct{}), listener: &listener{TCPListener: l.(*net.TCPListener), conns: s}}
	server.ConnState = s.note
	go func() {
		defer close(d.closed)
		_ = server.Serve(d.listener)
	}()
	return d, nil
}

// Address returns IP:PORT.
func (d *Door) Address() string {
	return d.listener.Addr().String()
}

// Close ends the door at once.
func (d *Door) Close() error {
	return d.server.Close()
}

// Ending is how a door ends.
type Ending struct {
	// Answers is until when requests may take; then Interrupt is called, upon
	// which each request still served is to get its last answer.
	Answers   time.Time
	Interrupt func()
	// End is when the door ends in any case.
	End time.Time
}

// Figures of an ordered end.
const (
	// quiet is for how long nothing has come from clients once a door takes it
	// that nothing is on its way: bytes wait in the queue of a busy link for up to
	// 0.7 s (measured on links of 10 Mbit/s), but not without others before them.
	quiet = 300 * time.Millisecond
	// look is the pause between two looks at the connections: short beside quiet.
	look = 20 * time.Millisecond
)

// End ends the door in order and reports whether all requests were answered in
// their own time. New connections are refused from now on, which a balancer takes
// for a word to try another process; what has come on open ones, or is on its
// way on new ones, is served.
func (d *Door) End(e Ending) bool {
	d.listener.end()
	<-d.closed
	d.conns.end()
	d.conns.watch.Log.WithFields(d.conns.tally().fields("door_closed")).Info("no new connections are taken")
	settled := func(t tally) bool { return t.busy == 0 && time.Since(t.arrived) >= quiet }
	whole := d.await(e.Answers, settled)
	if !whole {
		d.conns.watch.Log.WithFields(d.conns.tally().fields("interrupted")).Warn("requests are given up: the time for answers is over")
		e.Interrupt()
		d.await(e.End, func(t tally) bool { return t.busy == 0 })
	}
	_ = d.server.Close()
	return whole
}

// await looks at the connections until they are as wanted or a time has come,
// and reports whether they are.
func (d *Door) await(until time.Time, wanted func(tally) bool) bool {
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
	// bound is until when connections are handed out though they never pause;
	// nil until the end begins.
	bound atomic.Pointer[time.Time]
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	bound := l.bound.Load()
	if err == nil {
		if bound != nil {
			l.wait(*bound)
		}
		return l.conns.add(c), nil
	}
	if bound != nil && isTimeout(err) {
		return nil, net.ErrClosed
	}
	return nil, err
}

// Figures of the end of a listener.
const (
	// queueEmpty is for how long no connection came out of the kernel's queue once
	// the queue is taken for empty; one that waits there is handed out at once, so
	// this only covers the scheduler of a small machine.
	queueEmpty = 10 * time.Millisecond
	// queueBound is for how long at most: beyond some hundred connections a second
	// there may never be such a pause.
	queueBound = 200 * time.Millisecond
)

// end makes the listener hand out what waits in the kernel's queue, and then
// end: connections left there would be reset with whole requests on them.
func (l *listener) end() {
	bound := time.Now().Add(queueBound)
	l.bound.Store(&bound)
	l.wait(bound)
}

// wait gives the next connection until the queue is taken for empty.
func (l *listener) wait(bound time.Time) {
	until := time.Now().Add(queueEmpty)
	if until.After(bound) {
		until = bound
	}
	// A listener that can't be given a time has ended already.
	_ = l.SetDeadline(until)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
