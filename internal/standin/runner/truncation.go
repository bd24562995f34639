package runner

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
)

// Framing is how a target marks the end of the bodies of its responses.
type Framing string

// The framings.
const (
	Chunked    Framing = "chunks"
	Sized      Framing = "length"
	UntilClose Framing = "until_close"
)

// TruncationPoint is where a response is broken off; plain ones always in the middle.
type TruncationPoint string

// The truncation points: after two whole events of a stream, in the middle of the third, or
// before the first byte of the body.
const (
	BetweenEvents TruncationPoint = "between_events"
	InsideEvent   TruncationPoint = "inside_event"
	BeforeBody    TruncationPoint = "before_body"
)

// TruncationCause is how the connection of a truncated response ends.
type TruncationCause string

// The causes: the target closes the connection, resets it, or crashes, whereupon its kernel
// closes all its sockets in order.
const (
	ByClose TruncationCause = "close"
	ByReset TruncationCause = "reset"
	ByCrash TruncationCause = "crash"
)

// Truncation describes how a response is broken off.
type Truncation struct {
	At TruncationPoint
	By TruncationCause
}

// pendingTruncation is a truncation that the next of several targets carries out.
type pendingTruncation struct {
	Truncation
	pending atomic.Bool
}

// truncating holds how a target frames its responses and whether it breaks one off.
type truncating struct {
	framing    Framing
	truncation *pendingTruncation
}

// SetFraming sets how the target frames the responses to clients' requests.
func (r *Runner) SetFraming(f Framing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.framing = f
}

// TruncateNext has the first of the targets that produces a new response break it off.
// Streams that are resumed are not broken off. The returned function reports whether that
// has happened.
func TruncateNext(all []*Runner, how Truncation) func() bool {
	next := &pendingTruncation{Truncation: how}
	next.pending.Store(true)
	for _, r := range all {
		r.mu.Lock()
		r.truncation = next
		r.mu.Unlock()
	}
	return func() bool { return !next.pending.Load() }
}

// takeTruncation returns the truncation that a new response must carry out, or nil.
func (r *Runner) takeTruncation() *Truncation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.truncation == nil || !r.truncation.pending.CompareAndSwap(true, false) {
		return nil
	}
	return &r.truncation.Truncation
}

// setFraming prepares a response whose whole body has a size.
func (r *Runner) setFraming(h http.Header, size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.framing {
	case Sized:
		h.Set("Content-Length", strconv.Itoa(size))
	case UntilClose:
		// net/http then sends neither a length nor chunks, and closes the connection.
		h.Set("Transfer-Encoding", "identity")
	}
}

// truncate sends the last bytes of a response that is broken off and ends its connection.
func (r *Runner) truncate(w http.ResponseWriter, rest string, by TruncationCause) {
	_, _ = io.WriteString(w, rest)
	control := http.NewResponseController(w)
	_ = control.Flush()
	switch by {
	case ByCrash:
		r.crashNow()
	case ByReset:
		reset(w)
		return
	}
	// net/http closes the connection without completing the response.
	panic(http.ErrAbortHandler)
}

func (r *Runner) answerPlain(w http.ResponseWriter, req *http.Request) {
	r.workPlain(req)
	body := "answer to " + req.Header.Get("Request-Id")
	r.setFraming(w.Header(), len(body))
	if cut := r.takeTruncation(); cut != nil {
		sent := body[:len(body)/2]
		if cut.At == BeforeBody {
			sent = ""
		}
		r.truncate(w, sent, cut.By)
		return
	}
	_, _ = io.WriteString(w, body)
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*lateConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
