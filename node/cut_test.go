package node

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciakeel/internal/standin/cut"
	"acaciakeel/internal/standin/runner"
)

const (
	// cutTargets is how many targets of each service an environment has whose responses are cut.
	cutTargets = 64
	// rebirthDelay is when a target that has cut a response starts again, with no failure known.
	rebirthDelay = 50 * time.Millisecond
)

// cutClients is how many clients send at the same time.
const cutClients = 24

// cutFraming is a way to mark the end of a response, and where its head says so.
type cutFraming string

const (
	lengthLast    cutFraming = "length"
	lengthFirst   cutFraming = "length_first"
	trailers      cutFraming = "chunks_and_trailer"
	noLength      cutFraming = "until_close"
	informational cutFraming = "informational"
)

// wholeBody is the body of a response at a path.
func wholeBody(path string) string {
	if isStreamPath(path) {
		return runner.Event(1, 0) + runner.Event(2, 0)
	}
	return "an answer"
}

func isStreamPath(path string) bool {
	return strings.HasPrefix(path, "/draft/") || strings.HasPrefix(path, "/match/")
}

// rawResponse returns a whole response to a request, and where its body begins.
func rawResponse(path, id string, framing cutFraming) (text string, body int) {
	fields := "Request-Id: " + id + "\r\nResponse-Seal: s\r\nWeight-Versions: 1\r\n"
	if isStreamPath(path) {
		fields += "Content-Type: text/event-stream\r\n"
	}
	return frame("HTTP/1.1 200 OK\r\n", fields, wholeBody(path), framing)
}

// rawRefusal returns a whole response which states that the request did not run.
func rawRefusal(id string, framing cutFraming) (text string, body int) {
	return frame("HTTP/1.1 503 Service Unavailable\r\n", "Request-Id: "+id+"\r\nNot-Executed: 1\r\n", "no room", framing)
}

// frame returns a response, and where its body begins.
func frame(status, fields, content string, framing cutFraming) (text string, body int) {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(content))
	switch framing {
	case lengthFirst:
		fields = length + fields
	case trailers:
		fields += "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n"
		content = fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", len(content), content)
	case informational:
		status = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + status
		fields += length
	case noLength:
	default:
		fields += length
	}
	head := status + fields + "\r\n"
	return head + content, len(head)
}

// cutCase is one request whose first response is cut.
type cutCase struct {
	path    string
	framing cutFraming
	end     cut.End
	bytes   int
	// refusal is set if the response states that the request did not run.
	refusal bool
}

func (c cutCase) String() string {
	return fmt.Sprintf("%s, %s, %s after %d bytes", c.path, c.framing, c.end, c.bytes)
}

// raw returns the whole response of the case, and where its body begins.
func (c cutCase) raw(id string) (text string, body int) {
	if c.refusal {
		return rawRefusal(id, c.framing)
	}
	return rawResponse(c.path, id, c.framing)
}

// mayBeWhole reports whether what was sent is a whole response to anyone who receives it: one
// without a length or chunks ends with its connection.
func (c cutCase) mayBeWhole() bool {
	text, body := c.raw(cutID(0, 0))
	switch {
	case c.framing != noLength || c.end == cut.Reset:
		return false
	case c.refusal:
		return c.bytes >= body
	case c.bytes <= body:
		return false
	}
	return !isStreamPath(c.path) || strings.HasSuffix(text[:c.bytes], "\n\n")
}

// script is what targets send at each arrival of a request, counted from 1; nil is a whole response.
type script func(id string, arrival int) *cut.Response

// atFirst returns the script of which only the first arrival has a response of its own.
func atFirst(respond func(id string) cut.Response) script {
	return func(id string, arrival int) *cut.Response {
		if arrival > 1 {
			return nil
		}
		r := respond(id)
		return &r
	}
}

// cutEnv is an environment whose targets answer each arrival of a request as told.
type cutEnv struct {
	*testEnv
	mu sync.Mutex
	// scripts and arrivals have those of each request by its ID.
	scripts  map[string]script
	arrivals map[string][]time.Time
	// born is the start time of each target.
	born    map[string]int64
	address string
}

func newCutEnv(t *testing.T) *cutEnv {
	e := &cutEnv{scripts: map[string]script{}, arrivals: map[string][]time.Time{}, born: map[string]int64{}}
	e.testEnv = newEnvWith(t, newFailureLog(t), func(w *testEnv) {
		for _, r := range append(w.runners, w.plainTargets...) {
			r.Close()
		}
		w.runners, w.plainTargets = nil, nil
		e.address = cut.Start(t, e.respond).Address
		for i := range cutTargets {
			e.start(w, fmt.Sprintf("lm-%d", i))
			e.start(w, fmt.Sprintf("desk-%d", i))
		}
	})
	return e
}

// start has a target start, or start again.
func (e *cutEnv) start(w *testEnv, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born[id]++
	service, _, _ := strings.Cut(id, "-")
	models := "[]"
	if service == "lm" {
		models = `[{"name":"m","version":1,"adapters":[]}]`
	}
	w.store.Set("servers/"+id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z1","slots":64,"state":"ready","models":%s,"born":%d}`, service, e.address, models, e.born[id]))
}

// respond is what the targets send.
func (e *cutEnv) respond(req *http.Request, _ []byte) cut.Response {
	id := req.Header.Get("Request-Id")
	e.mu.Lock()
	respond, known := e.scripts[id]
	e.arrivals[id] = append(e.arrivals[id], time.Now())
	arrival := len(e.arrivals[id])
	target := req.Header.Get("Expect-Instance")
	born := e.born[target]
	e.mu.Unlock()
	if !known {
		return respondToCall(req, born)
	}
	own := respond(id, arrival)
	if own == nil {
		return cut.Whole(wholeFrom(req, id), false)
	}
	if own.End == cut.Hold {
		return *own
	}
	time.AfterFunc(rebirthDelay, func() { e.start(e.testEnv, target) })
	return *own
}

// wholeFrom returns the whole response to a request, which may continue a stream.
func wholeFrom(req *http.Request, id string) string {
	text, _ := rawResponse(req.URL.Path, id, trailers)
	if last := req.Header.Get("Last-Event-Id"); last != "" {
		text = strings.Replace(text, runner.Event(1, 0), "", 1)
		text = strings.Replace(text, fmt.Sprintf("%x\r\nid", len(wholeBody(req.URL.Path))), fmt.Sprintf("%x\r\nid", len(runner.Event(2, 0))), 1)
	}
	return text
}

// respondToCall answers the calls of an entry.
func respondToCall(req *http.Request, born int64) cut.Response {
	body := fmt.Sprintf(`{"born":%d,"models":[{"name":"m","version":1}],"busy":false,"seq_no":0,"queued":0,"active":0,"runs":[]}`, born)
	if req.URL.Path == "/kv-events" {
		time.Sleep(100 * time.Millisecond)
		body = fmt.Sprintf(`{"born":%d,"boot_epoch":1,"next_token":1,"lost":false,"events":[]}`, born)
	}
	return cut.Whole(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), false)
}

// cutID returns the ID of a request. All are equally long, so that a byte is at the same place in
// the responses to all.
func cutID(number, try int) string { return fmt.Sprintf("%05d-%03d", number, try) }

// play sends a request until a target gets it, and returns what its client got. All requests have
// different numbers.
func (e *cutEnv) play(method, path string, respond script, number int) (id string, got response) {
	for try := range 200 {
		id = cutID(number, try)
		e.mu.Lock()
		e.scripts[id] = respond
		e.mu.Unlock()
		var header map[string]string
		if isStreamPath(path) {
			header = promptHeaders()
			header["Prefix-Hash"] = fmt.Sprintf("%x:400,%x:500", 2*number, 2*number+1)
		}
		// A content of its own, as targets seem to end while they run it.
		got = e.sendTo(e.node, method, path, "body of "+id, id, header)
		if len(e.arrived(id)) > 0 {
			return id, got
		}
		time.Sleep(20 * time.Millisecond)
	}
	return id, got
}

// arrived returns when targets got a request.
func (e *cutEnv) arrived(id string) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals[id])
}

// respond returns the response of a case.
func (c cutCase) respond(id string) cut.Response {
	text, _ := c.raw(id)
	return cut.Response{Text: text, Bytes: c.bytes, EndsWhole: true, End: c.end}
}

// judge reports what is wrong with what the client of a case got.
func (e *cutEnv) judge(c cutCase, id string, got response) {
	arrivals := len(e.arrived(id))
	once := strings.HasPrefix(c.path, "/hold/") || strings.HasPrefix(c.path, "/match/")
	switch whole := got.err == nil && got.status == http.StatusOK; {
	case arrivals == 0:
		e.t.Errorf("%v: no target got it; the client got %d %q (%v)", c, got.status, got.body, got.err)
	case c.refusal && c.mayBeWhole():
	case once && arrivals > 1:
		e.t.Errorf("%v: %d targets got it", c, arrivals)
	case slices.Contains(promises, got.status):
		e.t.Errorf("%v: the client got %d, and it may have run", c, got.status)
	case whole && got.body != wholeBody(c.path) && !c.mayBeWhole():
		e.t.Errorf("%v: the client got %q as a whole response", c, got.body)
	case !strings.HasPrefix(wholeBody(c.path), got.body) && got.status == http.StatusOK:
		e.t.Errorf("%v: the client got %q", c, got.body)
	}
}

// cutCases returns the cases of all paths and framings for some ends, at each step-th byte.
func cutCases(ends []cut.End, step int, refusal bool) []cutCase {
	var out []cutCase
	for _, path := range []string{"/stock/cut", "/hold/cut", "/draft/cut", "/match/cut"} {
		for _, framing := range []cutFraming{lengthLast, lengthFirst, trailers, noLength, informational} {
			for _, end := range ends {
				c := cutCase{path: path, framing: framing, end: end, refusal: refusal}
				text, body := c.raw(cutID(0, 0))
				for c.bytes = range text {
					if c.bytes%step == 0 || c.bytes == body {
						out = append(out, c)
					}
				}
			}
		}
	}
	return out
}

// Guards against a response that ends within its head, a chunk's size, a trailer or its body and
// reaches its client as a whole one: each byte, by each framing and route.
func TestCutResponsesAreNotWhole(t *testing.T) {
	playCuts(t, false)
}

// Guards against a statement "not run" that ends within its header or body and is believed: the
// client is told so, or the request goes on elsewhere, although its target may run it.
func TestCutRefusalsAreNotBelieved(t *testing.T) {
	playCuts(t, true)
}

// playCuts plays each byte by a close, and some by a reset and after a pause; all if CUT_ALL is set.
func playCuts(t *testing.T, refusal bool) {
	e := newCutEnv(t)
	step := 11
	if os.Getenv("CUT_ALL") != "" {
		step = 1
	}
	cases := append(cutCases([]cut.End{cut.Close}, 1, refusal), cutCases([]cut.End{cut.Reset, cut.Stall}, step, refusal)...)
	next := make(chan int)
	var clients sync.WaitGroup
	for range cutClients {
		clients.Go(func() {
			for i := range next {
				id, got := e.play("POST", cases[i].path, atFirst(cases[i].respond), i)
				e.judge(cases[i], id, got)
			}
		})
	}
	for i := range cases {
		next <- i
	}
	close(next)
	clients.Wait()
	t.Logf("%d responses were cut", len(cases))
}

// Guards against a stream that looks whole because the target that continues it stops after the
// header of a response without a length: nothing says that the last event was the last one.
func TestContinuationWithoutEventsIsNotTheEnd(t *testing.T) {
	e := newCutEnv(t)
	head, body := rawResponse("/draft/x", cutID(0, 0), noLength)
	id, got := e.play("POST", "/draft/x", func(id string, arrival int) *cut.Response {
		text := strings.Replace(head, cutID(0, 0), id, 1)[:body]
		if arrival == 1 {
			text += runner.Event(1, 0) + "id: 2\ndata: pie"
		}
		return &cut.Response{Text: text, Bytes: len(text), EndsWhole: true, End: cut.Close}
	}, 1)
	if n := len(e.arrived(id)); n != 2 || got.err == nil || got.body != runner.Event(1, 0) {
		t.Errorf("%d targets got it, and the client %d %q (%v), want the first event and then an error", n, got.status, got.body, got.err)
	}
}
