package runner

import (
	"fmt"
	"regexp"
	"strconv"
	"sync/atomic"
)

// runNaming is how a target's streams tell which run made each event.
type runNaming struct {
	named bool
	// plainStreams is set if requests without a model are answered with streams.
	plainStreams bool
	// startsAnew is set if streams begin at the first event whatever Last-Event-Id says.
	startsAnew bool
	// unnumbered is the first event from which on events have no ID; 0 numbers all.
	unnumbered int
	// breakNext is set while the next stream of several targets is to break off.
	breakNext *atomic.Bool
}

// NameRuns has each event of the target's streams name the run that made it, and the event after
// which that run began.
func (r *Runner) NameRuns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs.named = true
}

// StreamWithoutModel has the target answer requests without a model with streams.
func (r *Runner) StreamWithoutModel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs.plainStreams = true
}

// IgnoreLastEventID has the target begin each stream at its first event.
func (r *Runner) IgnoreLastEventID() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs.startsAnew = true
}

// OmitEventIDs has the target's events from the given one on carry no ID.
func (r *Runner) OmitEventIDs(first int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs.unnumbered = first
}

// BreakNext has the first of the targets that begins or continues a stream break it off after two
// events.
func BreakNext(all []*Runner) {
	next := &atomic.Bool{}
	next.Store(true)
	for _, r := range all {
		r.mu.Lock()
		r.runs.breakNext = next
		r.mu.Unlock()
	}
}

// takeBreak reports whether the stream that begins now is to break off.
func (n runNaming) takeBreak() bool {
	return n.breakNext != nil && n.breakNext.CompareAndSwap(true, false)
}

func (r *Runner) runNaming() runNaming {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs
}

// event returns event i of a run that began with event first.
func (n runNaming) event(run string, first, i, size int) string {
	if !n.named {
		return Event(i, size)
	}
	text := fmt.Sprintf("data: piece %d of run %s after %d\n\n", i, run, first-1)
	if n.unnumbered > 0 && i >= n.unnumbered {
		return text
	}
	return fmt.Sprintf("id: %d\n%s", i, text)
}

var namedPiece = regexp.MustCompile(`(?m)^data: piece (\d+) of run (\S+) after (\d+)$`)

// JudgeRuns checks all that a client has received of one stream, over all its attempts: the pieces
// follow each other, and a run other than the one before began after the last piece. It returns
// the number of the last piece.
func JudgeRuns(received string) (last int, err error) {
	run := ""
	for _, m := range namedPiece.FindAllStringSubmatch(received, -1) {
		piece, _ := strconv.Atoi(m[1])
		after, _ := strconv.Atoi(m[3])
		if piece != last+1 {
			return last, fmt.Errorf("piece %d of run %s follows piece %d", piece, m[2], last)
		}
		if run != "" && m[2] != run && after != last {
			return last, fmt.Errorf("piece %d is of run %s, which began after piece %d, and follows piece %d of run %s", piece, m[2], after, last, run)
		}
		last, run = piece, m[2]
	}
	return last, nil
}
