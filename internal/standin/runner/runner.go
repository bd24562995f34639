// Package runner is a stand-in of the platform's targets: it speaks their
// published protocol, counts what ran, and fails as told. It decides nothing
// about load; its answers are made up.
package runner

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"acaciakeel/store"
)

// Events is how many events a whole stream has.
const Events = 6

// Seen is one request as it arrived.
type Seen struct {
	ID     string
	Method string
	URI    string
	Header http.Header
	Body   string
	// Ran is set where the target worked on it.
	Ran bool
	At  time.Time
	// Born is the start of the life that it came to.
	Born int64
	// Began is when its first event came, and BeganOn the weights then.
	Began   time.Time
	BeganOn int64
	// Limited is when it was answered with a limit.
	Limited time.Time
	// ToldLeaving is when it was answered that the target leaves.
	ToldLeaving time.Time
	// Rest is what it was turned away with, and Answered when.
	Rest     time.Duration
	Answered time.Time
}

// Runner is one target.
type Runner struct {
	ID      string
	Service string
	address string

	mu     sync.Mutex
	server *httptest.Server
	// born is the Unix millisecond of its start, and accepted counts the orders
	// since then.
	born     int64
	accepted int
	fault    Fault
	// first are the weights of the first start, and weights those by now.
	first   map[string]int64
	weights map[string]int64
	orders  []Order
	seen    []Seen
	pace    time.Duration
	deadly
	loading
	limiting limiting
	// leaves is set once it says in its answers that it leaves.
	leaves bool
	// rest is what it asks for as it turns all requests away; 0 where it does not.
	rest time.Duration
}

// Start starts a target on loopback with the given weights; nil for a plain service.
func Start(id, service string, weights map[string]int64) *Runner {
	r := &Runner{ID: id, Service: service, first: maps.Clone(weights), weights: weights, born: time.Now().UnixMilli()}
	r.idle()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", r.report)
	mux.HandleFunc("POST /order", r.order)
	mux.HandleFunc("GET /kv-events", r.events)
	mux.HandleFunc("/", r.serve)
	r.server = httptest.NewServer(mux)
	r.address = r.server.Listener.Addr().String()
	return r
}

// Close ends the target.
func (r *Runner) Close() {
	server := r.closed()
	server.CloseClientConnections()
	server.Close()
}

// Restart ends the target's connections and starts it again under its id, with
// its weights, an empty cache and no orders counted. It returns when it was born.
func (r *Runner) Restart() int64 {
	return r.restart(func() {})
}

// Reborn is Restart with the weights of the first start, and without what would
// have started it again.
func (r *Runner) Reborn() int64 {
	return r.restart(func() {
		r.weights = maps.Clone(r.first)
		r.leaves = false
		if r.fault == RebornInStream || r.fault == RebornAtOrder {
			r.fault = None
		}
	})
}

func (r *Runner) restart(forget func()) int64 {
	r.mu.Lock()
	r.born = max(time.Now().UnixMilli(), r.born+1)
	r.accepted = 0
	r.idle()
	forget()
	born := r.born
	server := r.server
	r.mu.Unlock()
	server.CloseClientConnections()
	return born
}

// Address returns IP:PORT.
func (r *Runner) Address() string {
	return r.address
}

// SetFault changes what goes wrong, SetPace the pause before each event.
func (r *Runner) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// SetPace sets the pause before each event of a stream.
func (r *Runner) SetPace(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace = d
}

// Weights returns the version of a model that the target has.
func (r *Runner) Weights(name string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.weights[name]
}

// Seen returns the requests that arrived.
func (r *Runner) Seen() []Seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Seen(nil), r.seen...)
}

// Orders returns the orders that arrived.
func (r *Runner) Orders() []Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Order(nil), r.orders...)
}

// Entry returns the target's entry in the platform's list.
func (r *Runner) Entry(state string) store.Entry {
	return r.EntryAt(state, r.Address())
}

// EntryAt returns the entry with another address, such as that of a fault proxy.
func (r *Runner) EntryAt(state, address string) store.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	value, _ := json.Marshal(map[string]any{
		"service": r.Service, "address": address, "zone": "z1", "slots": cmp.Or(r.slots, 8), "state": state, "models": r.models(), "born": r.born,
	})
	return store.Entry{Key: "servers/" + r.ID, Value: value}
}

func (r *Runner) models() []map[string]any {
	out := []map[string]any{}
	for name, version := range r.weights {
		out = append(out, map[string]any{"name": name, "version": version})
	}
	return out
}

// other reports whether another target is meant, and says so.
func (r *Runner) other(w http.ResponseWriter, req *http.Request) bool {
	meant := req.Header.Get("Expect-Instance")
	if meant == "" || meant == r.ID {
		return false
	}
	w.Header().Set("Instance-Id", r.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (r *Runner) report(w http.ResponseWriter, req *http.Request) {
	if r.other(w, req) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"models": r.models(), "busy": r.busy, "seq_no": r.accepted, "born": r.born})
}

func (r *Runner) events(w http.ResponseWriter, req *http.Request) {
	if r.other(w, req) {
		return
	}
	wait, _ := strconv.Atoi(req.Header.Get("Wait-Ms"))
	time.Sleep(time.Duration(wait) * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"born":%d,"boot_epoch":%d,"next_token":1,"lost":false,"events":[]}`, r.born, r.born)
}

func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	seen, fault, pace, refused := r.note(req, string(body))
	r.nameLimit(w.Header(), seen)
	r.sayLeaving(w.Header(), seen)
	r.askRest(w.Header(), seen, refused)
	switch {
	case refused == http.StatusMisdirectedRequest:
		w.Header().Set("Instance-Id", r.ID)
		r.setWeights(w.Header(), req.Header.Get("Model"))
		w.WriteHeader(refused)
		return
	case refused != 0:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(refused)
		return
	case r.endsOn(string(body)):
		r.crash()
		panic(http.ErrAbortHandler)
	case fault == LoseAnswer:
		panic(http.ErrAbortHandler)
	case fault == Mute:
		<-req.Context().Done()
		return
	}
	r.answer(w, req, &turn{seen: seen, fault: fault, pace: pace})
}

// turn is how one request is answered.
type turn struct {
	seen  int
	fault Fault
	pace  time.Duration
	// run is its slot; nil where it needs none.
	run *run
}

// setWeights says which version of a model answers, as each answer does.
func (r *Runner) setWeights(h http.Header, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version, ok := r.weights[name]; ok {
		h.Set("Weight-Versions", strconv.FormatInt(version, 10))
	}
}

// note keeps a request, as the one at seen, and returns the status by which it is
// refused unrun, or 0.
func (r *Runner) note(req *http.Request, body string) (seen int, f Fault, pace time.Duration, refused int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := req.Header
	version, hasVersion := h["Expect-Version"]
	switch {
	case h.Get("Expect-Instance") != "" && h.Get("Expect-Instance") != r.ID:
		refused = http.StatusMisdirectedRequest
	case hasVersion && version[0] != strconv.FormatInt(r.weights[h.Get("Model")], 10):
		refused = http.StatusMisdirectedRequest
	case r.busy && h.Get("Model") != "", r.fault == Shed, r.rest > 0, r.fault == BrokenShed && h.Get("Last-Event-Id") != "":
		refused = http.StatusServiceUnavailable
	}
	r.seen = append(r.seen, Seen{ID: h.Get("Request-Id"), Method: req.Method, URI: req.RequestURI, Header: h.Clone(), Body: body, Ran: refused == 0, At: time.Now(), Born: r.born})
	return len(r.seen) - 1, r.fault, r.pace, refused
}

func (r *Runner) answer(w http.ResponseWriter, req *http.Request, t *turn) {
	fault := t.fault
	h := w.Header()
	h.Set("Request-Id", req.Header.Get("Request-Id"))
	if fault == Crossed {
		h.Set("Request-Id", "another")
	}
	if fault != Unsealed {
		h.Set("Response-Seal", "seal-"+r.ID)
	}
	if fault == Failing || fault == BrokenFailing && req.Header.Get("Last-Event-Id") != "" {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if req.Header.Get("Model") == "" {
		_, _ = fmt.Fprintf(w, "answer to %s", req.Header.Get("Request-Id"))
		return
	}
	in, refused := r.enter(req, t.seen)
	if in != nil {
		defer r.leave(in)
		t.run = in
		var begun bool
		if begun, refused = r.read(req, in, t.pace); begun {
			h.Set("Content-Type", "text/event-stream")
			r.setWeights(h, req.Header.Get("Model"))
			r.stream(w, req, t)
			return
		}
	}
	if !refused {
		panic(http.ErrAbortHandler)
	}
	h.Del("Response-Seal")
	h.Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// breaksOff reports whether streams end in the middle of an event.
func breaksOff(f Fault) bool {
	return f == Broken || f == BrokenShed || f == BrokenFailing || f == RebornInStream
}

// rebornOnce starts the target again unless another stream of its life did.
func (r *Runner) rebornOnce(f Fault) {
	r.mu.Lock()
	due := r.fault == f
	r.mu.Unlock()
	if due {
		r.Reborn()
	}
}

// pause waits for the next event; it returns false where the stream ends before.
func (t *turn) pause(req *http.Request) bool {
	timer := time.NewTimer(t.pace)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.run.cut:
	case <-req.Context().Done():
	}
	return false
}

func (r *Runner) stream(w http.ResponseWriter, req *http.Request, t *turn) {
	fault, first := t.fault, 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	flush := http.NewResponseController(w)
	for i := first; i <= Events; i++ {
		if i > first && !t.pause(req) {
			panic(http.ErrAbortHandler)
		}
		if breaksOff(fault) && first == 1 && i == 3 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: tor", i)
			_ = flush.Flush()
			if fault == RebornInStream {
				r.rebornOnce(fault)
			}
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = flush.Flush()
	}
}
