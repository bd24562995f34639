// Package runner is a stand-in for the platform's targets: it implements their
// published protocol, records the requests, and simulates configured faults. It makes
// no load decisions; its responses are synthetic.
package runner

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"acaciakeel/store"
)

// Events is the number of events in a complete stream.
const Events = 6

// Seen is a received request.
type Seen struct {
	ID     string
	Method string
	URI    string
	Header http.Header
	Body   string
	// Unread is set if the target answered before it read the body.
	Unread bool
	// Ran is set if the target executed the request.
	Ran bool
	At  time.Time
	// Born is the start time of the target lifetime that received it.
	Born int64
	// Began is the time of the first event, BeganOn the weight version that produced it.
	Began   time.Time
	BeganOn int64
	// Build is the version of the target's software that produced the first event.
	Build string
	// Limited is the time of a response with Server-Limit.
	Limited time.Time
	// ToldLeaving is the time of a response with Server-Leaving.
	ToldLeaving time.Time
	// Left is when its connection ended while the target worked on it; zero if it did not.
	// Ended is when the target stopped working on it; zero while it works.
	Left, Ended time.Time
	// Rest is the Retry-After of the 503 that refused it, Answered the time of that response.
	Rest     time.Duration
	Answered time.Time
}

// Runner is a simulated target.
type Runner struct {
	ID      string
	Service string
	address string

	mu     sync.Mutex
	server *httptest.Server
	// born is the start time in Unix milliseconds; accepted counts the orders accepted
	// since then.
	born     int64
	accepted int
	fault    Fault
	// first holds the weights of the first start, weights the current ones.
	first   map[string]int64
	weights map[string]int64
	orders  []Order
	// arrivals holds the orders that arrived, accepted or not.
	arrivals []Arrival
	seen     []Seen
	pace     time.Duration
	crashing
	loading
	truncating
	// early is an early answer to give; nil is none.
	early    *pendingEarly
	limiting limiting
	late     late
	room     room
	// leaves is set once responses carry Server-Leaving.
	leaves bool
	// deaf is set if work goes on after its connection has ended.
	deaf bool
	// rest is the Retry-After with which all requests are refused; 0 refuses none.
	rest time.Duration
	// build is the version of the target's software; empty states none.
	build string
	// runs is how streams tell which run made them.
	runs runNaming
	// misdirectsCalls is set if calls are answered as another target would.
	misdirectsCalls bool
	// slowness is the fourth figure of Server-Load; 0 sends no Server-Load.
	slowness int
}

// Start starts a target on loopback with the given weights; nil for a service without
// models.
func Start(id, service string, weights map[string]int64) *Runner {
	r := &Runner{ID: id, Service: service, first: maps.Clone(weights), weights: weights, born: time.Now().UnixMilli()}
	r.resetLoading()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", r.report)
	mux.HandleFunc("POST /order", r.order)
	mux.HandleFunc("GET /kv-events", r.events)
	mux.HandleFunc("/", r.serve)
	r.server = newServer(nil, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.beginRequest(req)
		mux.ServeHTTP(w, req)
	}))
	r.address = r.server.Listener.Addr().String()
	return r
}

// Close stops the target.
func (r *Runner) Close() {
	server := r.markClosed()
	server.CloseClientConnections()
	server.Close()
}

// Restart closes the target's connections and restarts it with the same id and weights,
// an empty cache and no orders counted. It returns the new start time.
func (r *Runner) Restart() int64 {
	return r.restart(func() {})
}

// Reborn restarts the target like Restart, but restores the weights of the first start
// and clears the leaving state and the faults that cause a restart.
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
	r.resetLoading()
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

// SetFault sets the simulated fault.
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

// Weights returns the version of a model that the target has loaded.
func (r *Runner) Weights(name string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.weights[name]
}

// Seen returns the received requests.
func (r *Runner) Seen() []Seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Seen(nil), r.seen...)
}

// Orders returns the accepted orders.
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
	fields := map[string]any{
		"service": r.Service, "address": address, "zone": "z1", "slots": r.slotCount(), "state": state, "models": r.models(), "born": r.born,
	}
	if r.build != "" {
		fields["version"] = r.build
	}
	value, _ := json.Marshal(fields)
	return store.Entry{Key: "servers/" + r.ID, Value: value}
}

func (r *Runner) models() []map[string]any {
	out := []map[string]any{}
	for name, version := range r.weights {
		out = append(out, map[string]any{"name": name, "version": version})
	}
	return out
}

// rejectOtherInstance reports whether the request expects another instance, and if so answers 421.
func (r *Runner) rejectOtherInstance(w http.ResponseWriter, req *http.Request) bool {
	meant := req.Header.Get("Expect-Instance")
	if meant == "" || meant == r.ID {
		return false
	}
	w.Header().Set("Instance-Id", r.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (r *Runner) report(w http.ResponseWriter, req *http.Request) {
	if r.misdirects(w) || r.rejectOtherInstance(w, req) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"models": r.models(), "busy": r.busy, "seq_no": r.accepted, "born": r.born, "queued": r.waiting, "active": len(r.running),
		"runs": r.runsAt(time.Now().Add(-reportAge)),
	})
}

func (r *Runner) events(w http.ResponseWriter, req *http.Request) {
	if r.misdirects(w) || r.rejectOtherInstance(w, req) {
		return
	}
	wait, _ := strconv.Atoi(req.Header.Get("Wait-Ms"))
	time.Sleep(time.Duration(wait) * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"born":%d,"boot_epoch":%d,"next_token":1,"lost":false,"events":[]}`, r.born, r.born)
}

func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	body, early, err := r.readBody(req)
	if err != nil {
		return
	}
	seen, fault, pace, refused := r.record(req, body)
	if early != "" {
		r.markUnread(seen)
	}
	if refused == 0 {
		defer r.leaveRoom()
		defer r.recordWork(req, seen)()
	}
	w.Header().Set("Request-Id", req.Header.Get("Request-Id"))
	r.setLoadHeader(w.Header())
	r.setLimitHeader(w.Header(), seen)
	r.setLeavingHeader(w.Header(), seen)
	r.setRetryAfter(w.Header(), seen, refused)
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
	case early != "":
		r.answerEarly(w, req, early)
		return
	case r.crashesOn(body):
		r.crash()
		panic(http.ErrAbortHandler)
	case sendWithoutEnd(w, req, fault), sendMalformed(w, req, fault):
		return
	case fault == LoseAnswer:
		panic(http.ErrAbortHandler)
	case fault == LoseAnswerByReset:
		r.workPlain(req)
		reset(w)
		return
	case fault == Mute:
		<-req.Context().Done()
		return
	}
	r.answer(w, req, &response{seen: seen, fault: fault, pace: pace, deaf: r.isDeaf()})
}

// response is the state of the response to a request.
type response struct {
	seen  int
	fault Fault
	pace  time.Duration
	// run is the occupied slot; nil if the request needs none.
	run *run
	// deaf is set if the target does not notice that the client disconnects.
	deaf bool
}

// setWeights sets Weight-Versions to the loaded version of a model.
func (r *Runner) setWeights(h http.Header, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version, ok := r.weights[name]; ok {
		h.Set("Weight-Versions", strconv.FormatInt(version, 10))
	}
}

// record records a request at index seen and returns the status with which it is refused
// without execution, or 0.
func (r *Runner) record(req *http.Request, body string) (seen int, f Fault, pace time.Duration, refused int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := req.Header
	version, hasVersion := h["Expect-Version"]
	switch {
	case h.Get("Expect-Instance") != "" && h.Get("Expect-Instance") != r.ID:
		refused = http.StatusMisdirectedRequest
	case hasVersion && version[0] != strconv.FormatInt(r.weights[h.Get("Model")], 10):
		refused = http.StatusMisdirectedRequest
	case r.busy && h.Get("Model") != "", r.fault == Shed, r.rest > 0, r.isFull(), r.fault == BrokenShed && h.Get("Last-Event-Id") != "":
		refused = http.StatusServiceUnavailable
	}
	if refused == 0 {
		r.room.inside++
	}
	r.seen = append(r.seen, Seen{ID: h.Get("Request-Id"), Method: req.Method, URI: req.RequestURI, Header: h.Clone(), Body: body, Ran: refused == 0, At: time.Now(), Born: r.born})
	return len(r.seen) - 1, r.fault, r.pace, refused
}

func (r *Runner) answer(w http.ResponseWriter, req *http.Request, t *response) {
	fault := t.fault
	h := w.Header()
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
		if r.runNaming().plainStreams {
			h.Set("Content-Type", "text/event-stream")
			r.stream(w, req, t)
			return
		}
		r.answerPlain(w, req)
		return
	}
	in, refused := r.acquireSlot(req, t.seen)
	if in != nil {
		defer r.releaseSlot(in)
		t.run = in
		var begun bool
		if begun, refused = r.processPrompt(req, in, r.slowed(t.pace)); begun {
			if r.crashesOnPart(req.Header) {
				r.crash()
				panic(http.ErrAbortHandler)
			}
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
