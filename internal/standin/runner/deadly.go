package runner

import (
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"time"
)

// deadly is what ends the target: it crashes as soon as it begins to run a request
// with a certain content, and starts again after a while.
type deadly struct {
	marker string
	after  time.Duration
	down   time.Duration
	// crashes are its ends; isDown and isClosed say why it does not listen.
	crashes  []time.Time
	isDown   bool
	isClosed bool
}

// EndOn has requests whose body holds marker end the target, some time after it began
// to run them, for a while.
func (r *Runner) EndOn(marker string, after, down time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marker, r.after, r.down = marker, after, down
}

// Crashes returns how often the target ended so.
func (r *Runner) Crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.crashes)
}

// Ends returns when targets ended so, in order.
func Ends(all []*Runner) []time.Time {
	var out []time.Time
	for _, r := range all {
		r.mu.Lock()
		out = append(out, r.crashes...)
		r.mu.Unlock()
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

func (r *Runner) endsOn(body string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.marker != "" && strings.Contains(body, r.marker)
}

// crash ends all connections and the listener at once, as the end of a process does,
// once for all requests that would end the same life.
func (r *Runner) crash() {
	r.mu.Lock()
	after := r.after
	r.mu.Unlock()
	time.Sleep(after)
	r.mu.Lock()
	if r.isDown || r.isClosed {
		r.mu.Unlock()
		return
	}
	r.crashes = append(r.crashes, time.Now())
	r.isDown = true
	server := r.server
	time.AfterFunc(r.down, r.back)
	r.mu.Unlock()
	server.Listener.Close()
	server.CloseClientConnections()
	// The requests that it was serving end by themselves.
	go server.Close()
}

// back starts the target again under its id and address, as a later life.
func (r *Runner) back() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed {
		return
	}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		time.AfterFunc(r.down, r.back)
		return
	}
	next := httptest.NewUnstartedServer(r.server.Config.Handler)
	next.Listener.Close()
	next.Listener = listener
	next.Start()
	r.server, r.isDown = next, false
	r.born, r.accepted = max(time.Now().UnixMilli(), r.born+1), 0
	r.idle()
}

// closed marks the target closed and returns its last server.
func (r *Runner) closed() *httptest.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isClosed = true
	return r.server
}
