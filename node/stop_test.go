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

// piece is a part of a request that comes to the node some time after the part
// before it, or after the connection was opened.
type piece struct {
	after time.Duration
	text  string
}

// Figures of a stop as the tests play it.
const (
	// slowest is how long what a client sent may be on its way to the node.
	slowest = 700 * time.Millisecond
	// openEvery and openAfter say how new connections come: until a little after
	// the notice, when the platform has long ceased to bring any.
	openEvery = 5 * time.Millisecond
	openAfter = 200 * time.Millisecond
	// kept is how many idle connections are open when the stop begins.
	kept = 8
)

// errNotAccepted is the end of a connection that the node never took on; its
// client knows that nothing ran.
var errNotAccepted = errors.New("the node did not accept the connection")

// caller is one client's connection to a node.
type caller struct {
	conn net.Conn
	in   *bufio.Reader
}

func dial(n *Node) (*caller, error) {
	conn, err := net.Dial("tcp", n.FrontAddress())
	if err != nil {
		return nil, errNotAccepted
	}
	return &caller{conn: conn, in: bufio.NewReader(conn)}, nil
}

// ask brings the pieces to the node and reads the answer.
func (c *caller) ask(pieces ...piece) answer {
	for i, p := range pieces {
		time.Sleep(p.after)
		if err := c.ended(); i == 0 && errors.Is(err, syscall.ECONNRESET) {
			// The kernel resets what waits at a listener that closes; the node ends a
			// connection of which it has read nothing plainly.
			return answer{err: errNotAccepted}
		} else if err != nil {
			return answer{err: fmt.Errorf("the connection ended with the request on its way: %w", err)}
		}
		if _, err := io.WriteString(c.conn, p.text); err != nil {
			return answer{err: fmt.Errorf("the connection ended with the request on its way: %w", err)}
		}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return answer{err: fmt.Errorf("the whole request was sent and not answered: %w", err)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// ended returns how the node ended the connection, nil while it is open.
func (c *caller) ended() error {
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

// message returns a request as a client writes it.
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

// stop is one planned stop of a node with what its clients saw.
type stop struct {
	w       *world
	node    *Node
	begun   time.Time
	stopped chan struct{}
	calls   sync.WaitGroup

	mu   sync.Mutex
	seen map[string][]seenCall
}

type seenCall struct {
	id     string
	answer answer
}

func (w *world) newStop(n *Node) *stop {
	return &stop{w: w, node: n, stopped: make(chan struct{}), seen: map[string][]seenCall{}}
}

// begin begins the stop; a call from before it is made at once.
func (s *stop) begin() {
	s.begun = time.Now()
	go func() { s.node.Stop(); close(s.stopped) }()
}

// call opens a connection at the given time of the stop and asks over it.
func (s *stop) call(what, id string, at time.Duration, pieces ...piece) {
	due := s.begun.Add(at)
	s.calls.Go(func() {
		time.Sleep(time.Until(due))
		c, err := dial(s.node)
		if err != nil {
			s.note(what, id, answer{err: err})
			return
		}
		defer c.conn.Close()
		s.note(what, id, c.ask(pieces...))
	})
}

func (s *stop) note(what, id string, a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[what] = append(s.seen[what], seenCall{id, a})
}

// end waits for the node and for all callers.
func (s *stop) end() {
	<-s.stopped
	s.calls.Wait()
}

// check holds that each request of a kind had a whole answer that is true. What
// was lost in the same way is told in one line.
func (s *stop) check(what string) {
	s.w.t.Helper()
	calls, lost, ran := s.seen[what], map[string][]string{}, map[string]bool{}
	for _, r := range s.w.ran(append(slices.Clone(s.w.runners), s.w.desks...)) {
		ran[r.ID] = true
	}
	for _, c := range calls {
		if fault := judge(c.answer, ran[c.id]); fault != "" {
			lost[fault] = append(lost[fault], c.id)
		}
	}
	for fault, of := range lost {
		s.w.t.Errorf("%s: %d of %d: %s (such as %s)", what, len(of), len(calls), fault, of[0])
	}
}

// judge returns what is wrong with the answer to a request.
func judge(a answer, ran bool) string {
	var said struct{ Outcome string }
	_ = json.Unmarshal([]byte(a.body), &said)
	switch {
	case errors.Is(a.err, errNotAccepted), a.err == nil && a.status == http.StatusOK:
		return ""
	case a.err != nil:
		// The addresses in an error differ from one connection to the other.
		return strings.SplitN(a.err.Error(), ": read tcp", 2)[0]
	case a.status == http.StatusBadGateway, a.status == http.StatusGatewayTimeout:
		return ""
	case a.status == http.StatusServiceUnavailable && said.Outcome == "not_run" && !ran:
		return ""
	}
	return fmt.Sprintf("answered %d %q, having run: %v", a.status, a.body, ran)
}

// A node is stopped as planned, and the way to it is slow: requests sent in time reach it when its notice is over. Their
// connections closed without answer or refusal, and the node logged nothing of them. It had read them: told to shut down,
// the HTTP server closes a connection whose next request it has just read, and idle ones were ended with requests on the
// way. What proved it: the node counts what it has read of a connection that it closes without an answer.
func TestStopAnswersWhatIsOnItsWay(t *testing.T) {
	w := newWorld(t)
	for _, r := range w.runners {
		r.SetPace(600 * time.Millisecond)
	}
	var idle []*caller
	for i := range kept {
		c, err := dial(w.node)
		if err != nil {
			t.Fatal(err)
		}
		defer c.conn.Close()
		if a := c.ask(piece{text: message("GET", "/stock/x", fmt.Sprintf("first-%d", i), nil)}); a.err != nil || a.status != http.StatusOK {
			t.Fatalf("answered %d (%v) before the stop", a.status, a.err)
		}
		idle = append(idle, c)
	}
	s := w.newStop(w.node)
	s.begin()
	// While a stream goes on, the node has no reason to have left.
	s.call("a stream that runs meanwhile", "stream", stopNotice-time.Second, piece{text: message("POST", "/draft/x", "stream", prompt())})
	const late = "requests on new connections"
	for at, i := time.Duration(0), 0; at < stopNotice+openAfter; at, i = at+openEvery, i+1 {
		id := fmt.Sprintf("late-%d", i)
		method, path := "GET", "/stock/x"
		if i%2 == 1 {
			method, path = "POST", "/hold/x"
		}
		s.call(late, id, at, piece{after: slowest * time.Duration(i%20+1) / 20, text: message(method, path, id, nil)})
	}
	const halves = "requests whose head comes in two parts"
	for i := range kept {
		id := fmt.Sprintf("halves-%d", i)
		text := message("GET", "/stock/x", id, nil)
		half := len(text) / 2
		s.call(halves, id, stopNotice-slowest/2, piece{text: text[:half]}, piece{after: slowest, text: text[half:]})
	}
	const again = "requests on connections kept from before"
	for i, c := range idle {
		id := fmt.Sprintf("again-%d", i)
		text := message("POST", "/hold/x", id, nil)
		half := len(text) / 2
		s.calls.Go(func() {
			due := time.Until(s.begun.Add(stopNotice - slowest/2))
			s.note(again, id, c.ask(piece{after: due, text: text[:half]}, piece{after: slowest, text: text[half:]}))
		})
	}
	s.end()
	for _, what := range []string{"a stream that runs meanwhile", late, halves, again} {
		s.check(what)
	}
	if a := s.seen["a stream that runs meanwhile"][0].answer; a.body != whole() {
		t.Errorf("the stream that runs meanwhile was answered %d %q (%v)", a.status, a.body, a.err)
	}
}

// A node stops, and targets don't answer: a request that may run once, and a stream without its first event, wait until
// the grace ends. Their connections were cut; their clients must be told that the outcome is unknown. A stream that comes
// after the notice and may outlast the grace is refused unrun, not broken off; one with less time is served.
func TestStopAnswersWhatWaitsUntilItsEnd(t *testing.T) {
	w := newWorld(t)
	w.graceS = 5
	n := w.startNode("n1")
	for _, r := range append(slices.Clone(w.runners), w.desks...) {
		r.SetFault(runner.Mute)
	}
	beyond, within := prompt(), prompt()
	beyond["Deadline-Ms"], within["Deadline-Ms"] = "20000", "1200"
	s := w.newStop(n)
	const once, unbegun = "a request that may run once, without an answer", "a stream without its first event"
	s.call(unbegun, "unbegun", 0, piece{text: message("POST", "/match/x", "unbegun", beyond)})
	w.until("the stream waits for its runner", func() bool { return len(w.ran(w.runners)) == 1 })
	s.begin()
	s.call(once, "once", time.Second, piece{text: message("POST", "/hold/x", "once", map[string]string{"Deadline-Ms": "20000"})})
	w.until("the other one waits too", func() bool { return len(w.ran(w.desks)) == 1 })
	for _, r := range w.runners {
		r.SetFault(runner.None)
	}
	const long, short = "a stream after the notice that may outlast the grace", "a stream after the notice that ends in time"
	s.call(long, "long", stopNotice-2*slowest, piece{after: slowest * 5 / 2, text: message("POST", "/match/x", "long", beyond)})
	s.call(short, "short", stopNotice-2*slowest, piece{after: slowest * 5 / 2, text: message("POST", "/match/x", "short", within)})
	s.end()
	for _, what := range []string{once, unbegun, long, short} {
		s.check(what)
	}
	for what, want := range map[string][]int{once: {502, 504}, unbegun: {502, 504}, long: {503}, short: {200}} {
		if a := s.seen[what][0].answer; a.err == nil && !slices.Contains(want, a.status) {
			t.Errorf("%s: answered %d %q, want one of %v", what, a.status, a.body, want)
		} else if errors.Is(a.err, errNotAccepted) {
			t.Errorf("%s: %v", what, a.err)
		}
	}
	if a := s.seen[short][0].answer; a.err == nil && a.body != whole() {
		t.Errorf("%s: got %q", short, a.body)
	}
}

// All nodes are stopped within moments, and new weights are named while they serve their last requests. Each had given the
// orders up to the others, so the runners kept their old weights until one had started again: with three nodes stopped half
// a second apart that was seven seconds, and a third of the runners had old weights 13 seconds after the naming. One of
// those that stop goes on to give the orders, and gives them up before it ends.
func TestStopOfAllGoesOnWithOrders(t *testing.T) {
	w := newWorld(t)
	peer := w.startNode("n1")
	w.until("one gives the orders", func() bool { return w.holds(w.node) || w.holds(peer) })
	for _, r := range w.runners {
		r.SetPace(600 * time.Millisecond)
	}
	stops := []*stop{w.newStop(w.node), w.newStop(peer)}
	for i, s := range stops {
		id := fmt.Sprintf("stream-%d", i)
		s.begin()
		// While a stream goes on, the node is there.
		s.call("a stream that runs meanwhile", id, stopNotice-time.Second, piece{text: message("POST", "/draft/x", id, prompt())})
	}
	w.store.Set("op/version/"+model, []byte(`{"model":"m","version":2}`))
	for _, s := range stops {
		s.end()
		s.check("a stream that runs meanwhile")
	}
	for _, r := range w.runners {
		if len(r.Orders()) == 0 {
			t.Errorf("runner %s got no order while its nodes stopped", r.ID)
		}
	}
	if _, err := platform.NewStore(w.kv.URL).Get(t.Context(), w.node.view.keys.leader); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("the orders are still somebody's after all have ended (%v)", err)
	}
}

func (w *world) holds(n *Node) bool {
	_, held := n.view.leaderLock.Held()
	return held
}
