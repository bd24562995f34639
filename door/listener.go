package door

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// listener adds accepted connections to conns. During a shutdown it refuses new connections
// before it closes: closing resets every connection in the accept queue, with the request
// that its client may have sent, so nothing may arrive between the last accept and the
// close, however long the process is stalled there.
type listener struct {
	*net.TCPListener
	conns *connSet
	// refuseNew, if set, reports whether new connections are closed unread; onRefused is called
	// for each.
	refuseNew atomic.Pointer[connRefusal]
	// refusing is closed when the listener begins to refuse new connections.
	refusing chan struct{}
	// unlimited is used once the kernel could not be told to limit a connection.
	unlimited sync.Once

	mu    sync.Mutex
	phase drainPhase
	// drainUntil is when new connections are refused even if they keep arriving without a
	// pause.
	drainUntil time.Time
	// unsealed is set if the kernel could not be told to refuse new connections; lateLooks
	// then counts the looks at the accept queue after drainUntil.
	unsealed  bool
	lateLooks int
}

// connRefusal decides whether new connections are closed unread.
type connRefusal struct {
	active    func() bool
	onRefused func()
}

// refuses closes a new connection unread if new connections are refused now. Its client then
// knows that the request was not read, and may send it elsewhere.
func (l *listener) refuses(c *net.TCPConn) bool {
	r := l.refuseNew.Load()
	if r == nil || !r.active() || l.shuttingDown() {
		return false
	}
	_ = c.Close() // nothing was read from it or written to it
	r.onRefused()
	return true
}

func (l *listener) shuttingDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase != 0
}

// drainPhase is a phase of the shutdown of a listener; zero before the shutdown.
type drainPhase int

const (
	// phaseDraining: connections are accepted until none has arrived for queueEmpty.
	phaseDraining drainPhase = iota + 1
	// phaseRefusing: new connections are refused. Those whose handshake had begun are
	// accepted.
	phaseRefusing
)

// Timing of the shutdown of a listener.
const (
	// queueEmpty is the time without a new connection after which the accept queue counts as
	// empty, and the pause before the queue is looked at again.
	queueEmpty = 10 * time.Millisecond
	// queueBound limits the draining: above some hundred connections a second such a pause
	// may never occur.
	queueBound = 300 * time.Millisecond
	// minHandshake and maxHandshake bound the time given to handshakes that had begun when
	// new connections were refused. Between them it is handshakeRoundTrips of the slowest
	// open connection, whose link may be busy with requests.
	minHandshake        = 50 * time.Millisecond
	maxHandshake        = time.Second
	handshakeRoundTrips = 2
	// maxLateLooks is how often an unsealed listener looks at the accept queue again after
	// drainUntil, because connections may keep arriving.
	maxLateLooks = 3
)

func newListener(l *net.TCPListener, conns *connSet) *listener {
	return &listener{TCPListener: l, conns: conns, refusing: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err == nil && l.refuses(c) {
			continue
		}
		if err == nil {
			l.extend(time.Now())
			if err := limitUnsent(c); err != nil {
				l.unlimited.Do(func() {
					l.conns.telemetry.Log.WithError(err).WithField("event", "unsent_unlimited").Warn("the kernel can hold megabytes for each client that reads slowly")
				})
			}
			return l.conns.add(c), nil
		}
		if !isTimeout(err) {
			return nil, err
		}
		if l.advance(time.Now()) {
			return nil, net.ErrClosed
		}
	}
}

// drain makes the listener accept what waits in the accept queue, then refuse new
// connections, and then close.
func (l *listener) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.phase, l.drainUntil = phaseDraining, now.Add(queueBound)
	l.setDeadline(now.Add(queueEmpty))
}

// extend extends the draining after a new connection.
func (l *listener) extend(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase == phaseDraining && now.Before(l.drainUntil) {
		l.setDeadline(now.Add(queueEmpty))
	}
}

// advance continues the shutdown after a timeout, and reports whether the listener may
// close.
func (l *listener) advance(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase == phaseDraining {
		l.setDeadline(now.Add(l.refuse()))
		return false
	}
	if !readable(l.TCPListener) {
		return true
	}
	if l.unsealed && now.After(l.drainUntil) {
		l.lateLooks++
	}
	l.setDeadline(now.Add(queueEmpty))
	return l.lateLooks > maxLateLooks
}

// refuse makes the kernel refuse new connections, and returns how long connections may
// still arrive whose handshake had begun; the caller holds mu.
func (l *listener) refuse() time.Duration {
	l.phase = phaseRefusing
	defer close(l.refusing)
	if err := refuseConnections(l.TCPListener); err != nil {
		l.unsealed = true
		l.conns.telemetry.Log.WithError(err).WithField("event", "door_unsealed").Warn("the kernel cannot refuse new connections; those that arrive while the listener closes are reset")
		return queueEmpty
	}
	wait := min(maxHandshake, max(minHandshake, handshakeRoundTrips*l.conns.maxRoundTrip()))
	l.conns.telemetry.Log.WithFields(logrus.Fields{"event": "door_sealed", "handshakes_ms": wait.Milliseconds()}).Info("refusing new connections; accepting those whose handshake has begun")
	return wait
}

// setDeadline sets the accept deadline; the caller holds mu.
func (l *listener) setDeadline(until time.Time) {
	// This only fails on a listener that is already closed.
	_ = l.SetDeadline(until)
}
