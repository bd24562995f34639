package node

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
	"acaciakeel/platform"
	"acaciakeel/store"
)

// fragment is a part of a request that is sent some time after the previous one, or after the
// connection was opened.
type fragment struct {
	after time.Duration
	text  string
}

// Timing of the stops in these tests.
const (
	// maxDelay is the longest time from the sending of a request to its arrival at the node.
	maxDelay = 700 * time.Millisecond
	// connectInterval is the pause between new connections, which are opened until connectTail
	// after the notice, when the platform has long stopped sending any.
	connectInterval = 5 * time.Millisecond
	connectTail     = 200 * time.Millisecond
	// idleConns is how many idle connections are open when the stop begins.
	idleConns = 8
)

// errNotAccepted reports a connection that the node never accepted; its client knows that
// nothing ran.
var errNotAccepted = errors.New("the node did not accept the connection")

// clientConn is one client's connection to a node.
type clientConn struct {
	conn net.Conn
	in   *bufio.Reader
}

func dial(n *Node) (*clientConn, error) {
	conn, err := net.Dial("tcp", n.FrontAddress())
	if err != nil {
		return nil, errNotAccepted
	}
	return &clientConn{conn: conn, in: bufio.NewReader(conn)}, nil
}

// send sends the fragments to the node and reads the answer.
func (c *clientConn) send(pieces ...fragment) response {
	for i, p := range pieces {
		time.Sleep(p.after)
		if err := c.closeError(); i == 0 && errors.Is(err, syscall.ECONNRESET) {
			// The kernel resets connections that wait at a listener when it closes; the node
			// closes a connection of which it has read nothing without a reset.
			return response{err: errNotAccepted}
		} else if err != nil {
			return response{err: fmt.Errorf("the connection ended with the request in transit: %w", err)}
		}
		if _, err := io.WriteString(c.conn, p.text); err != nil {
			return response{err: fmt.Errorf("the connection ended with the request in transit: %w", err)}
		}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(waitTimeout))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return response{err: fmt.Errorf("the complete request was sent and not answered: %w", err)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// closeError returns how the node closeError the connection, nil while it is open.
func (c *clientConn) closeError() error {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.in.Peek(1)
	if isTimeout(err) {
		return nil
	}
	return err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// message returns a request in wire format.
func message(method, path, id string, header map[string]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nKey: %s\r\n", method, path, id, goodKey)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method == "POST" {
		b.WriteString("Content-Length: 0\r\n")
	}
	return b.String() + "\r\n"
}

// plannedStop is one planned stop of a node with what its clients saw.
type plannedStop struct {
	w       *testEnv
	node    *Node
	begun   time.Time
	stopped chan struct{}
	calls   sync.WaitGroup

	mu      sync.Mutex
	results map[string][]callResult
}

type callResult struct {
	id       string
	response response
}

func (w *testEnv) newStop(n *Node) *plannedStop {
	return &plannedStop{w: w, node: n, stopped: make(chan struct{}), results: map[string][]callResult{}}
}

// begin begins the stop; calls due before it are made at once.
func (s *plannedStop) begin() {
	s.begun = time.Now()
	go func() { s.node.Stop(); close(s.stopped) }()
}

// call opens a connection at the given time of the stop and sends a request over it.
func (s *plannedStop) call(what, id string, at time.Duration, pieces ...fragment) {
	due := s.begun.Add(at)
	s.calls.Go(func() {
		time.Sleep(time.Until(due))
		c, err := dial(s.node)
		if err != nil {
			s.note(what, id, response{err: err})
			return
		}
		defer c.conn.Close()
		s.note(what, id, c.send(pieces...))
	})
}

func (s *plannedStop) note(what, id string, a response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[what] = append(s.results[what], callResult{id, a})
}

// end waits for the node and for all calls.
func (s *plannedStop) end() {
	<-s.stopped
	s.calls.Wait()
}

// check checks that each request of a kind got a complete and true answer. Requests that
// failed in the same way are reported in one line.
func (s *plannedStop) check(what string) {
	s.w.t.Helper()
	calls, lost, ran := s.results[what], map[string][]string{}, map[string]bool{}
	for _, r := range s.w.executed(append(slices.Clone(s.w.runners), s.w.plainTargets...)) {
		ran[r.ID] = true
	}
	for _, c := range calls {
		if fault := checkResponse(c.response, ran[c.id]); fault != "" {
			lost[fault] = append(lost[fault], c.id)
		}
	}
	for fault, of := range lost {
		s.w.t.Errorf("%s: %d of %d: %s (such as %s)", what, len(of), len(calls), fault, of[0])
	}
}

// checkResponse returns what is wrong with the answer to a request, or an empty string.
func checkResponse(a response, ran bool) string {
	var reported struct{ Outcome string }
	_ = json.Unmarshal([]byte(a.body), &reported)
	switch {
	case errors.Is(a.err, errNotAccepted), a.err == nil && a.status == http.StatusOK:
		return ""
	case a.err != nil:
		// The addresses in an error differ from one connection to another.
		return strings.SplitN(a.err.Error(), ": read tcp", 2)[0]
	case a.status == http.StatusBadGateway, a.status == http.StatusGatewayTimeout:
		return ""
	case a.status == http.StatusServiceUnavailable && reported.Outcome == "not_run" && !ran:
		return ""
	}
	return fmt.Sprintf("answered %d %q, having run: %v", a.status, a.body, ran)
}

// Guards against connections closed without an answer when requests sent before a stop arrive after its notice: the HTTP
// server's shutdown closes a connection whose next request it has just read, and idle ones with requests in transit.
func TestStopAnswersRequestsInTransit(t *testing.T) {
	w := newEnv(t)
	for _, r := range w.runners {
		r.SetPace(600 * time.Millisecond)
	}
	var idle []*clientConn
	for i := range idleConns {
		c, err := dial(w.node)
		if err != nil {
			t.Fatal(err)
		}
		defer c.conn.Close()
		if a := c.send(fragment{text: message("GET", "/stock/x", fmt.Sprintf("first-%d", i), nil)}); a.err != nil || a.status != http.StatusOK {
			t.Fatalf("answered %d (%v) before the stop", a.status, a.err)
		}
		idle = append(idle, c)
	}
	s := w.newStop(w.node)
	s.begin()
	// A stream in progress gives the node a reason to keep running.
	s.call("a stream in progress", "stream", stopNotice-time.Second, fragment{text: message("POST", "/draft/x", "stream", promptHeaders())})
	const late = "requests on new connections"
	for at, i := time.Duration(0), 0; at < stopNotice+connectTail; at, i = at+connectInterval, i+1 {
		id := fmt.Sprintf("late-%d", i)
		method, path := "GET", "/stock/x"
		if i%2 == 1 {
			method, path = "POST", "/hold/x"
		}
		s.call(late, id, at, fragment{after: maxDelay * time.Duration(i%20+1) / 20, text: message(method, path, id, nil)})
	}
	const halves = "requests whose head comes in two parts"
	for i := range idleConns {
		id := fmt.Sprintf("halves-%d", i)
		text := message("GET", "/stock/x", id, nil)
		half := len(text) / 2
		s.call(halves, id, stopNotice-maxDelay/2, fragment{text: text[:half]}, fragment{after: maxDelay, text: text[half:]})
	}
	const again = "requests on connections opened before the stop"
	for i, c := range idle {
		id := fmt.Sprintf("again-%d", i)
		text := message("POST", "/hold/x", id, nil)
		half := len(text) / 2
		s.calls.Go(func() {
			due := time.Until(s.begun.Add(stopNotice - maxDelay/2))
			s.note(again, id, c.send(fragment{after: due, text: text[:half]}, fragment{after: maxDelay, text: text[half:]}))
		})
	}
	s.end()
	for _, what := range []string{"a stream in progress", late, halves, again} {
		s.check(what)
	}
	if a := s.results["a stream in progress"][0].response; a.body != completeStream() {
		t.Errorf("the stream in progress was answered %d %q (%v)", a.status, a.body, a.err)
	}
}

// Guards against connections cut at the end of the grace period while targets do not answer: clients
// must learn that the outcome is unknown. A stream that may outlast the grace period is refused unrun.
func TestStopAnswersPendingRequests(t *testing.T) {
	w := newEnv(t)
	w.graceS = 5
	n := w.startNode("n1")
	for _, r := range append(slices.Clone(w.runners), w.plainTargets...) {
		r.SetFault(runner.Mute)
	}
	beyond, within := promptHeaders(), promptHeaders()
	beyond["Deadline-Ms"], within["Deadline-Ms"] = "20000", "1200"
	s := w.newStop(n)
	const once, unbegun = "a request that may run once, without an answer", "a stream without its first event"
	s.call(unbegun, "unbegun", 0, fragment{text: message("POST", "/match/x", "unbegun", beyond)})
	w.until("the stream waits for its runner", func() bool { return len(w.executed(w.runners)) == 1 })
	s.begin()
	s.call(once, "once", time.Second, fragment{text: message("POST", "/hold/x", "once", map[string]string{"Deadline-Ms": "20000"})})
	w.until("the other one waits too", func() bool { return len(w.executed(w.plainTargets)) == 1 })
	for _, r := range w.runners {
		r.SetFault(runner.None)
	}
	const long, short = "a stream after the notice that may outlast the grace", "a stream after the notice that ends in time"
	s.call(long, "long", stopNotice-2*maxDelay, fragment{after: maxDelay * 5 / 2, text: message("POST", "/match/x", "long", beyond)})
	s.call(short, "short", stopNotice-2*maxDelay, fragment{after: maxDelay * 5 / 2, text: message("POST", "/match/x", "short", within)})
	s.end()
	for _, what := range []string{once, unbegun, long, short} {
		s.check(what)
	}
	for what, want := range map[string][]int{once: {502, 504}, unbegun: {502, 504}, long: {503}, short: {200}} {
		if a := s.results[what][0].response; a.err == nil && !slices.Contains(want, a.status) {
			t.Errorf("%s: answered %d %q, want one of %v", what, a.status, a.body, want)
		} else if errors.Is(a.err, errNotAccepted) {
			t.Errorf("%s: %v", what, a.err)
		}
	}
	if a := s.results[short][0].response; a.err == nil && a.body != completeStream() {
		t.Errorf("%s: got %q", short, a.body)
	}
}

// Guards against a rollout that waits for a restart when all nodes stop together, each having given up
// the leadership: seven seconds, and a third of the runners had old weights 13 s after the naming.
func TestStopOfAllNodesContinuesRollout(t *testing.T) {
	w := newEnv(t)
	peer := w.startNode("n1")
	w.until("a node is the leader", func() bool { return w.isLeader(w.node) || w.isLeader(peer) })
	for _, r := range w.runners {
		r.SetPace(600 * time.Millisecond)
	}
	stops := []*plannedStop{w.newStop(w.node), w.newStop(peer)}
	for i, s := range stops {
		id := fmt.Sprintf("stream-%d", i)
		s.begin()
		// A stream in progress keeps the node running.
		s.call("a stream in progress", id, stopNotice-time.Second, fragment{text: message("POST", "/draft/x", id, promptHeaders())})
	}
	w.store.Set("op/version/"+model, []byte(`{"model":"m","version":2}`))
	for _, s := range stops {
		s.end()
		s.check("a stream in progress")
	}
	for _, r := range w.runners {
		if len(r.Orders()) == 0 {
			t.Errorf("runner %s got no order while its nodes stopped", r.ID)
		}
	}
	if _, err := platform.NewStore(w.kv.URL).Get(t.Context(), w.node.view.keys.leader); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("the leader lock is still held after all nodes have ended (%v)", err)
	}
}

func (w *testEnv) isLeader(n *Node) bool {
	_, held := n.view.leaderLock.Held()
	return held
}
