package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
	"acaciakeel/telemetry"
)

// Bounds of what a target can send before the entry ends its connection: what the entry reads,
// and what the kernel takes beyond that.
const (
	headBound   = 96 << 10
	eventBound  = 1 << 20
	bodyBound   = 8 << 20
	socketBytes = 4 << 20
	// bodySocketBytes is larger: the kernel's buffer grows with what is read.
	bodySocketBytes = 40 << 20
)

// endlessResponse is a response that goes on until its connection is closed.
type endlessResponse struct {
	path string
	// head is sent once, with the request's ID in place of ID; piece is sent again and again.
	head  string
	piece func(i int) string
	// pause is the time after each byte; 0 sends as fast as the entry reads.
	pause time.Duration
	// sent bounds the bytes that are sent before the connection ends.
	sent int
	// headForwarded is set if the client has got a part of the response.
	headForwarded bool
	// malformed is set if the first bytes show that it is none in the protocol.
	malformed bool
}

func repeated(text string) func(int) string { return func(int) string { return text } }

const (
	okHead     = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\nWeight-Versions: 1\r\n"
	chunked    = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	eventsHead = okHead + "Content-Type: text/event-stream\r\n\r\n"
	oneEvent   = "id: 1\ndata: x\n\n"
	earlyHints = "HTTP/1.1 103 Early Hints\r\n\r\n"
	textOf4KB  = 4 << 10
)

func endlessResponses() map[string]endlessResponse {
	text := repeated(strings.Repeat("x", textOf4KB))
	chunk := repeated(fmt.Sprintf("%x\r\n%s\r\n", textOf4KB, strings.Repeat("x", textOf4KB)))
	headerLine := func(i int) string { return fmt.Sprintf("X-%d: value\r\n", i) }
	out := map[string]endlessResponse{}
	for kind, path := range map[string]string{"plain": "/hold/endless", "stream": "/match/endless"} {
		out["a header line, "+kind] = endlessResponse{path: path, head: okHead + "X: ", piece: text, sent: headBound + socketBytes}
		out["header lines, "+kind] = endlessResponse{path: path, head: okHead, piece: headerLine, sent: headBound + socketBytes}
		out["no status line, "+kind] = endlessResponse{path: path, piece: text, sent: socketBytes, malformed: true}
		out["informational responses, "+kind] = endlessResponse{path: path, piece: repeated(earlyHints), sent: headBound + socketBytes}
	}
	out["a chunked body"] = endlessResponse{path: "/hold/endless", head: chunked, piece: chunk, sent: bodyBound + bodySocketBytes}
	out["a body until close"] = endlessResponse{path: "/hold/endless", head: okHead + "\r\n", piece: text, sent: bodyBound + bodySocketBytes}
	out["a body of a stated terabyte"] = endlessResponse{path: "/hold/endless", head: okHead + "Content-Length: 1000000000000\r\n\r\n", piece: text, sent: headBound + socketBytes}
	out["a line of a stream"] = endlessResponse{path: "/match/endless", head: eventsHead, piece: text, sent: eventBound + 4*socketBytes}
	out["lines of an event"] = endlessResponse{path: "/match/endless", head: eventsHead, piece: repeated("data: x\n"), sent: eventBound + 4*socketBytes}
	out["a line after an event"] = endlessResponse{path: "/match/endless", head: eventsHead + oneEvent, piece: text, sent: eventBound + 4*socketBytes, headForwarded: true}
	return out
}

// slowResponses returns the responses whose bytes come one at a time, which only the deadline of
// the request ends.
func slowResponses() map[string]endlessResponse {
	out := map[string]endlessResponse{}
	for kind, path := range map[string]string{"plain": "/hold/endless", "stream": "/match/endless"} {
		out["a header line, "+kind] = endlessResponse{path: path, head: okHead + "X: ", piece: repeated("x")}
		out["header lines, "+kind] = endlessResponse{path: path, head: okHead, piece: repeated("X: x\r\n")}
		out["no status line, "+kind] = endlessResponse{path: path, piece: repeated("x")}
		out["informational responses, "+kind] = endlessResponse{path: path, piece: repeated(earlyHints)}
	}
	out["a chunked body"] = endlessResponse{path: "/hold/endless", head: chunked, piece: repeated("1\r\nx\r\n")}
	out["a body until close"] = endlessResponse{path: "/hold/endless", head: okHead + "\r\n", piece: repeated("x")}
	out["a body with a length"] = endlessResponse{path: "/hold/endless", head: okHead + "Content-Length: 1000000\r\n\r\n", piece: repeated("x")}
	out["before the first event"] = endlessResponse{path: "/match/endless", head: eventsHead, piece: repeated("x")}
	out["between events"] = endlessResponse{path: "/match/endless", head: eventsHead + oneEvent, piece: repeated("x"), headForwarded: true}
	for name, r := range out {
		r.pause, r.sent = time.Millisecond, headBound+socketBytes
		out[name] = r
	}
	return out
}

// connEnd is how a connection with an endless response ended.
type connEnd struct {
	id   string
	sent int
	// closed is set if the entry closed it.
	closed bool
}

// endlessTargets stand before the targets of an environment: requests for a path that ends in
// /endless get what play writes, all others reach the target.
type endlessTargets struct {
	w    *testEnv
	play atomic.Pointer[func(conn *net.TCPConn, id string) connEnd]
	ends chan connEnd

	mu   sync.Mutex
	runs map[string]int
	// forwarded counts the other requests by target.
	forwarded map[string]int
}

func startEndlessTargets(t *testing.T, w *testEnv) *endlessTargets {
	t.Helper()
	e := &endlessTargets{w: w, ends: make(chan connEnd, 64), runs: map[string]int{}, forwarded: map[string]int{}}
	for _, other := range []*runner.Runner{w.runners[1], w.plainTargets[1]} {
		leaving := other.Entry("draining")
		w.store.Set(leaving.Key, leaving.Value)
	}
	targets := []*runner.Runner{w.runners[0], w.plainTargets[0]}
	for _, target := range targets {
		entry := target.EntryAt("ready", e.startProxy(t, target))
		w.store.Set(entry.Key, entry.Value)
	}
	w.until("requests reach each proxy", func() bool {
		w.send("POST", "/hold/sound", "box", nil)
		w.send("POST", "/match/sound", "box", promptHeaders())
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.forwarded) == len(targets)
	})
	return e
}

func (e *endlessTargets) startProxy(t *testing.T, target *runner.Runner) (address string) {
	t.Helper()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target.Address()})
	proxy.FlushInterval = -1
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/endless") {
			if strings.HasSuffix(r.URL.Path, "/sound") {
				e.count(e.forwarded, target.ID)
			}
			// A response that begins before its request has been read ends the proxy's reading.
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			proxy.ServeHTTP(w, r)
			return
		}
		id := r.Header.Get("Request-Id")
		e.count(e.runs, id)
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		tcp := conn.(*net.TCPConn)
		_ = tcp.SetWriteBuffer(64 << 10)
		_ = tcp.SetDeadline(time.Now().Add(waitTimeout))
		e.ends <- (*e.play.Load())(tcp, id)
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

func (e *endlessTargets) count(of map[string]int, key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	of[key]++
}

func (e *endlessTargets) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// write sends the response until the entry ends the connection, or has taken more than it may.
func (r endlessResponse) write(conn *net.TCPConn, id string) connEnd {
	end := connEnd{id: id}
	send := func(text string) bool {
		n, err := io.WriteString(conn, text)
		end.sent += n
		end.closed = err != nil && !isTimeout(err)
		return err == nil && end.sent <= r.sent
	}
	if !send(strings.Replace(r.head, "ID", id, 1)) {
		return end
	}
	var batch strings.Builder
	for i := 0; ; i++ {
		piece := r.piece(i)
		if r.pause == 0 {
			batch.WriteString(piece)
			if batch.Len() < textOf4KB {
				continue
			}
			if !send(batch.String()) {
				return end
			}
			batch.Reset()
			continue
		}
		for _, b := range []byte(piece) {
			time.Sleep(r.pause)
			if !send(string(b)) {
				return end
			}
		}
	}
}

// checkEndless sends one request to a target with an endless response, and checks that the target
// is stopped, that the request ran once and that its outcome promises nothing.
func (e *endlessTargets) checkEndless(t *testing.T, r endlessResponse, id string, headers map[string]string) {
	t.Helper()
	play := r.write
	e.play.Store(&play)
	answered := make(chan response, 1)
	go func() { answered <- e.w.sendTo(e.w.node, "POST", r.path, "body", id, headers) }()
	end := <-e.ends
	if !end.closed || end.sent > r.sent {
		t.Errorf("the target could send %d bytes, its connection was closed: %v", end.sent, end.closed)
	}
	got := <-answered
	switch {
	case r.headForwarded && got.err == nil:
		t.Errorf("answered %d with %d bytes that look whole", got.status, len(got.body))
	case !r.headForwarded && (got.err != nil || got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout):
		t.Errorf("answered %d (%v), want 502 or 504", got.status, got.err)
	}
	if n := e.runsOf(id); n != 1 {
		t.Errorf("ran %d times", n)
	}
	if got := e.w.send("POST", "/hold/sound", "box", nil); got.status != http.StatusOK {
		t.Errorf("a plain request after it got %d %q (%v)", got.status, got.body, got.err)
	}
	if got := e.w.send("POST", "/match/sound", "box", promptHeaders()); got.status != http.StatusOK || got.body != completeStream() {
		t.Errorf("a stream after it got %d %q (%v)", got.status, got.body, got.err)
	}
}

func endlessHeaders(path string) map[string]string {
	if strings.HasPrefix(path, "/match/") {
		return promptHeaders()
	}
	return map[string]string{}
}

// Guards against a faulty target that fills the entry's memory: bytes that are no answer and go
// on until the entry closes the connection.
func TestEndlessResponseIsEnded(t *testing.T) {
	for name, r := range endlessResponses() {
		t.Run(name, func(t *testing.T) {
			log := &lockedBuffer{}
			w := newEnvWith(t, telemetry.NewLoggerTo(log, "info"))
			e := startEndlessTargets(t, w)
			e.checkEndless(t, r, "endless", endlessHeaders(r.path))
			fault, other := "oversized", "malformed"
			if r.malformed {
				fault, other = other, fault
			}
			if n := w.gauge("keel_router_" + fault + "_responses_total"); n != 1 {
				t.Errorf("%v %s responses counted, want 1", n, fault)
			}
			if n := w.gauge("keel_router_" + other + "_responses_total"); n != 0 {
				t.Errorf("%v %s responses counted, want none", n, other)
			}
			if !strings.Contains(log.String(), "event=response_"+fault) {
				t.Errorf("the log does not tell the %s response apart", fault)
			}
			if n := w.gauge("keel_node_response_bytes_held"); n != 0 {
				t.Errorf("%v bytes are still held", n)
			}
		})
	}
}

// Guards against a request that stays while single bytes come that are no answer: its deadline
// must end it and its connection at each stage of the response.
func TestSlowEndlessResponseEndsAtDeadline(t *testing.T) {
	for name, r := range slowResponses() {
		t.Run(name, func(t *testing.T) {
			e := startEndlessTargets(t, newEnv(t))
			headers := endlessHeaders(r.path)
			headers["Deadline-Ms"] = "500"
			e.checkEndless(t, r, "endless", headers)
		})
	}
}

// unfinishedBodies are responses of which all begin together and none ends.
type unfinishedBodies struct {
	// framing is the end of the head.
	framing string
	// start lets the targets send once all requests have arrived.
	start   chan struct{}
	arrived atomic.Int64
	// open counts the connections that the entry has not closed.
	open atomic.Int64

	mu    sync.Mutex
	conns []*net.TCPConn
}

// play sends the head and a part of the body, and waits until the connection is closed.
func (b *unfinishedBodies) play(conn *net.TCPConn, id string) connEnd {
	// The test closes what the entry leaves open.
	_ = conn.SetDeadline(time.Time{})
	b.mu.Lock()
	b.conns = append(b.conns, conn)
	b.mu.Unlock()
	b.open.Add(1)
	defer b.open.Add(-1)
	b.arrived.Add(1)
	<-b.start
	_, err := io.WriteString(conn, strings.Replace(okHead, "ID", id, 1)+b.framing)
	for sent := 0; err == nil && sent < unfinishedBytes; sent += len(bodyPiece) {
		_, err = conn.Write(bodyPiece)
	}
	if err == nil {
		_, _ = conn.Read(make([]byte, 1))
	}
	return connEnd{id: id}
}

func (b *unfinishedBodies) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, conn := range b.conns {
		_ = conn.Close()
	}
}

// unfinishedBytes is what is sent of each body. It is within the bound of one body.
const unfinishedBytes = 7 << 20

// bodyPiece is shared by all targets: bodies of their own would take most of the processor time.
var bodyPiece = bytes.Repeat([]byte("x"), 64<<10)

// Guards against bodies that together fill the memory although each is within its own bound.
func TestBodiesShareABudget(t *testing.T) {
	const (
		requests = 32
		// budget is what responses may hold on a VM without a stated memory size.
		budget = 28 << 20
		held   = budget / unfinishedBytes
		// timeout of the requests exceeds all waits of the test, so that no deadline ends a response.
		timeout = 10 * waitTimeout
	)
	for name, framing := range map[string]string{"chunked": "Transfer-Encoding: chunked\r\n\r\n800000\r\n", "until close": "\r\n", "with a length": "Content-Length: 8000000\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			w := newEnvWith(t, newFailureLog(t), func(w *testEnv) { w.holdTimeoutMS = int(timeout.Milliseconds()) })
			e := startEndlessTargets(t, w)
			bodies := &unfinishedBodies{framing: framing, start: make(chan struct{})}
			t.Cleanup(bodies.close)
			play := bodies.play
			e.play.Store(&play)
			headers := map[string]string{"Deadline-Ms": fmt.Sprint(timeout.Milliseconds())}
			answered := make(chan response, requests)
			for i := range requests {
				go func() {
					answered <- w.sendTo(w.node, "POST", "/hold/endless", "body", fmt.Sprint("endless-", i), headers)
				}()
			}
			w.until("all requests are at the target", func() bool { return bodies.arrived.Load() == requests })
			close(bodies.start)
			defer func() {
				if t.Failed() {
					t.Logf("%d bodies of %d bytes are held, at most %d may be; %v bytes are counted, %v bodies were given up",
						bodies.open.Load(), unfinishedBytes, held, w.gauge("keel_node_response_bytes_held"), w.gauge("keel_router_oversized_responses_total"))
				}
			}()
			most := 0.0
			w.until("the rest of the bodies has been given up", func() bool {
				most = max(most, w.gauge("keel_node_response_bytes_held"))
				if got := w.send("POST", "/hold/sound", "box", headers); got.status == http.StatusBadGateway || got.err != nil {
					t.Fatalf("a sound request meanwhile got %d %q (%v)", got.status, got.body, got.err)
				}
				return bodies.open.Load() <= held && w.gauge("keel_router_oversized_responses_total") >= requests-held
			})
			if most > budget {
				t.Errorf("%v bytes were held at once", most)
			}
			bodies.close()
			for range requests {
				<-e.ends
				if got := <-answered; slices.Contains([]int{408, 421, 429, 503}, got.status) {
					t.Errorf("answered %d, which promises that it did not run", got.status)
				}
			}
			w.until("nothing is held any more", func() bool { return w.gauge("keel_node_response_bytes_held") == 0 })
		})
	}
}
