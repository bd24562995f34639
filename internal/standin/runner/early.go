package runner

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// EarlyEnd is how a target ends a connection on which it has sent a part of an answer, without length
// or chunks, before it has read the request's body.
type EarlyEnd string

// The ends: a reset, a close with unread bytes, and an orderly end of its side with a reset later.
const (
	EarlyReset     EarlyEnd = "reset"
	EarlyUnread    EarlyEnd = "unread"
	EarlyHalfClose EarlyEnd = "half_close"
)

// EarlyBody is the smallest body, in bytes, that a target answers before it has read it: more than the
// connection's buffers hold, so that it is still being written.
const EarlyBody = 512 << 10

// earlyPause is the time between the part of an answer and the end, so that the part is read first.
const earlyPause = 2 * time.Millisecond

// pendingEarly is an early answer that the next of several targets gives.
type pendingEarly struct {
	end     EarlyEnd
	pending atomic.Bool
}

// AnswerEarlyNext has the first of the targets that gets a new request with a large body answer it
// early and cut. The returned function reports whether that has happened.
func AnswerEarlyNext(all []*Runner, end EarlyEnd) func() bool {
	next := &pendingEarly{end: end}
	next.pending.Store(true)
	for _, r := range all {
		r.mu.Lock()
		r.early = next
		r.mu.Unlock()
	}
	return func() bool { return !next.pending.Load() }
}

// readBody reads the body of a request, or returns how to answer it before.
func (r *Runner) readBody(req *http.Request) (body string, early EarlyEnd, err error) {
	r.mu.Lock()
	next := r.early
	r.mu.Unlock()
	if next != nil && req.ContentLength >= EarlyBody && req.Header.Get("Last-Event-Id") == "" && next.pending.CompareAndSwap(true, false) {
		return "", next.end, nil
	}
	all, err := io.ReadAll(req.Body)
	return string(all), "", err
}

// markUnread records that the body of a request was not read.
func (r *Runner) markUnread(seen int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[seen].Unread = true
}

// answerEarly sends a part of the answer and ends the connection.
func (r *Runner) answerEarly(w http.ResponseWriter, req *http.Request, end EarlyEnd) {
	header, part := "", "answer to"
	if req.Header.Get("Model") != "" {
		r.setWeights(w.Header(), req.Header.Get("Model"))
		header = "Content-Type: text/event-stream\r\nWeight-Versions: " + w.Header().Get("Weight-Versions") + "\r\n"
		part = Event(1, 0) + Event(2, 0)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\n%s\r\n%s", req.Header.Get("Request-Id"), r.ID, header, part)
	time.Sleep(earlyPause)
	tcp, ok := conn.(*lateConn)
	if !ok {
		return
	}
	if end == EarlyHalfClose {
		_ = tcp.Conn.(*net.TCPConn).CloseWrite()
		time.Sleep(earlyPause)
	}
	if end != EarlyUnread {
		_ = tcp.SetLinger(0)
	}
}
