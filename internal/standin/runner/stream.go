package runner

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// breaksStream reports whether the fault aborts streams in the middle of an event.
func breaksStream(f Fault) bool {
	return f == Broken || f == BrokenShed || f == BrokenFailing || f == RebornInStream
}

// rebornOnce restarts the target unless another stream with the fault already has.
func (r *Runner) rebornOnce(f Fault) {
	r.mu.Lock()
	due := r.fault == f
	r.mu.Unlock()
	if due {
		r.Reborn()
	}
}

// pause waits until the next event is due; it returns false if the stream is aborted or
// the client disconnects first.
func (t *response) pause(req *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.run.aborted():
	case <-t.disconnected(req):
	}
	return false
}

// disconnected returns the channel that is closed when the client disconnects; nil if the target
// does not notice.
func (t *response) disconnected(req *http.Request) <-chan struct{} {
	if t.deaf {
		return nil
	}
	return req.Context().Done()
}

func (r *Runner) stream(w http.ResponseWriter, req *http.Request, t *response) {
	fault, first, runs := t.fault, 1, r.runNaming()
	run := fmt.Sprintf("%s/%d", r.ID, t.seen)
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil && !runs.startsAnew {
		first = last + 1
	}
	flush := http.NewResponseController(w)
	size := eventBytes(req)
	r.setFraming(w.Header(), len(eventsFrom(first, size)))
	var cut *Truncation
	if first == 1 {
		cut = r.takeTruncation()
	}
	breaks := runs.takeBreak()
	for i := first; i <= Events; i++ {
		if breaks && i == first+2 {
			panic(http.ErrAbortHandler)
		}
		if cut != nil && (i == 3 || cut.At == BeforeBody) {
			rest := ""
			if cut.At == InsideEvent {
				rest = fmt.Sprintf("id: %d\ndata: tor", i)
			}
			r.truncate(w, rest, cut.By)
			return
		}
		if i > first && !t.pause(req, r.slowed(t.pace)) {
			panic(http.ErrAbortHandler)
		}
		if breaksStream(fault) && first == 1 && i == 3 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: tor", i)
			_ = flush.Flush()
			if fault == RebornInStream {
				r.rebornOnce(fault)
			}
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, runs.event(run, first, i, size))
		_ = flush.Flush()
	}
}
