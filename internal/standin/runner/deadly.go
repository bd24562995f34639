package runner

import (
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"time"
)

// crashing simulates a target that crashes when it runs a request whose body contains
// marker: it crashes after the delay after and restarts once down has passed.
type crashing struct {
	marker string
	after  time.Duration
	down   time.Duration
	// part is the ID of a part of prompts that makes the target crash once it begins to answer;
	// it has no effect as the last part.
	part string
	// crashes holds the times of the crashes. isDown is set between a crash and the
	// restart, isClosed after Close.
	crashes  []time.Time
	isDown   bool
	isClosed bool
}

// CrashOn makes the target crash on requests whose body contains marker: it crashes after
// the delay after and stays down for the duration down.
func (r *Runner) CrashOn(marker string, after, down time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marker, r.after, r.down = marker, after, down
}

// CrashOnPart makes the target crash on requests of which a part but the last has an ID: the
// delay after it has begun to answer one it crashes, and stays down for the duration down.
func (r *Runner) CrashOnPart(id string, after, down time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.part, r.after, r.down = id, after, down
}

// HasPart reports whether a request's prompt has a part, not counting the last one.
func HasPart(h http.Header, id string) bool {
	parts := strings.Split(h.Get("Prefix-Hash"), ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool {
		got, _, _ := strings.Cut(p, ":")
		return strings.EqualFold(got, id)
	})
}

func (r *Runner) crashesOnPart(h http.Header) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.part != "" && HasPart(h, r.part)
}

// Crashes returns the number of crashes caused by CrashOn.
func (r *Runner) Crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.crashes)
}

// CrashTimes returns the crash times of all targets in ascending order.
func CrashTimes(all []*Runner) []time.Time {
	var out []time.Time
	for _, r := range all {
		r.mu.Lock()
		out = append(out, r.crashes...)
		r.mu.Unlock()
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// minDowntime is the least time after which a crashed target restarts.
const minDowntime = 50 * time.Millisecond

func (r *Runner) crashesOn(body string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.marker != "" && strings.Contains(body, r.marker)
}

// crash closes the listener and all connections at once, as a process exit does. Several
// concurrent requests that match the marker cause a single crash.
func (r *Runner) crash() {
	r.mu.Lock()
	after := r.after
	r.mu.Unlock()
	time.Sleep(after)
	r.crashNow()
}

func (r *Runner) crashNow() {
	r.mu.Lock()
	if r.isDown || r.isClosed {
		r.mu.Unlock()
		return
	}
	r.crashes = append(r.crashes, time.Now())
	r.isDown = true
	server := r.server
	time.AfterFunc(max(r.down, minDowntime), r.restartAfterCrash)
	r.mu.Unlock()
	server.Listener.Close()
	server.CloseClientConnections()
	// Close waits for the handlers still running, so it runs in the background.
	go server.Close()
}

// restartAfterCrash restarts the target with the same id and address and a later start time. It
// retries while the address is in use.
func (r *Runner) restartAfterCrash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed {
		return
	}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		time.AfterFunc(minDowntime, r.restartAfterCrash)
		return
	}
	next := newServer(listener, r.server.Config.Handler)
	r.server, r.isDown = next, false
	r.born, r.accepted = max(time.Now().UnixMilli(), r.born+1), 0
	r.resetLoading()
}

// markClosed marks the target markClosed and returns its last server.
func (r *Runner) markClosed() *httptest.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isClosed = true
	return r.server
}
