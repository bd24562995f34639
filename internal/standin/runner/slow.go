package runner

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// usualPercent is the fourth figure of Server-Load at the usual speed.
const usualPercent = 100

// SetSlowness makes work take percent/100 times as long, also that of running requests, and
// makes responses report it as the fourth figure of Server-Load. 0 restores the usual speed
// without a report.
func (r *Runner) SetSlowness(percent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowness = percent
}

// slowed returns how long work takes at present that usually takes d.
func (r *Runner) slowed(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slowness == 0 {
		return d
	}
	return d * time.Duration(r.slowness) / usualPercent
}

// setLoadHeader sets Server-Load on a response if the slowness is reported.
func (r *Runner) setLoadHeader(h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slowness > 0 {
		h.Set("Server-Load", fmt.Sprintf("%d,%d,%d,%d", len(r.running), r.waiting, r.slotCount(), r.slowness))
	}
}

// EventBytesParam is the query parameter with the size of each event of the stream that
// answers a request.
const EventBytesParam = "event_bytes"

func eventBytes(req *http.Request) int {
	n, _ := strconv.Atoi(req.URL.Query().Get(EventBytesParam))
	return n
}

// Event returns event i of a stream, padded to a size.
func Event(i, size int) string {
	text := fmt.Sprintf("id: %d\ndata: piece %d", i, i)
	return text + strings.Repeat(".", max(0, size-len(text)-2)) + "\n\n"
}

// WholeStream returns all events of a stream.
func WholeStream(size int) string {
	return eventsFrom(1, size)
}

// eventsFrom returns the events of a stream from the first one given to the last.
func eventsFrom(first, size int) string {
	var b strings.Builder
	for i := first; i <= Events; i++ {
		b.WriteString(Event(i, size))
	}
	return b.String()
}
