package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/telemetry"
)

// earlyEnd is how a target ends a connection on which it answers before it has read the request.
type earlyEnd string

const (
	// endsByReset resets the connection, endsUnread closes it with unread bytes, which makes the
	// kernel reset it, and endsHalf closes its sending side in order and resets later.
	endsByReset earlyEnd = "reset"
	endsUnread  earlyEnd = "unread"
	endsHalf    earlyEnd = "half-close and reset"
	// endsLingering closes the sending side in order and reads on to the end of the request.
	endsLingering earlyEnd = "half-close and read on"
	// keeps leaves the connection open and reads on.
	keeps earlyEnd = "keep"
)

// earlyAnswer is the answer of a target that does not wait for the request's body.
type earlyAnswer struct {
	name string
	// text has {id} for the request's ID.
	text string
	end  earlyEnd
	// after is how much of the body is read before the answer, pause the time between the answer and
	// the end.
	after int64
	pause time.Duration
}

// earlyTarget answers each request whose path ends in /early before it has read the body. All others
// reach the target behind it.
type earlyTarget struct {
	behind *rawTarget
	answer atomic.Pointer[earlyAnswer]
	// refusal is how the target refuses instead; nil answers.
	refusal atomic.Pointer[earlyRefusal]
	mu      sync.Mutex
	runs    map[string]int
	refused map[string]bool
}

func (e *earlyTarget) serve(c *net.TCPConn) {
	defer c.Close()
	in, refusal := bufio.NewReader(c), ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if strings.HasSuffix(req.URL.Path, "/early") {
			if how := e.refusal.Load(); how != nil {
				if !e.refuse(c, req, how, &refusal) {
					return
				}
				continue
			}
			if !e.respond(c, req) {
				return
			}
			continue
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.Header.Get("Request-Id") == "" {
			e.behind.call(c, req)
			continue
		}
		_, _ = io.WriteString(c, e.behind.expand("{run}", req))
	}
}

// respond answers a request early and reports whether the connection stays.
func (e *earlyTarget) respond(c *net.TCPConn, req *http.Request) bool {
	id, answer := req.Header.Get("Request-Id"), e.answer.Load()
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	_, _ = io.CopyN(io.Discard, req.Body, answer.after)
	_, _ = io.WriteString(c, strings.ReplaceAll(answer.text, "{id}", id))
	time.Sleep(answer.pause)
	switch answer.end {
	case endsByReset:
		_ = c.SetLinger(0)
	case endsHalf:
		_ = c.CloseWrite()
		time.Sleep(answer.pause)
		_ = c.SetLinger(0)
	case endsLingering:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, req.Body)
	case keeps:
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil
	}
	return false
}

// earlyEnv is an environment whose targets answer before they have read the body.
type earlyEnv struct {
	*testEnv
	targets []*earlyTarget
}

func newEarlyEnv(t *testing.T, log logrus.FieldLogger) *earlyEnv {
	t.Helper()
	out := &earlyEnv{testEnv: newEnvWith(t, log, func(w *testEnv) { w.maxBodyBytes = 16 << 20 })}
	addresses := map[string]bool{}
	for _, calls := range append(out.runners, out.plainTargets...) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		target := &earlyTarget{behind: &rawTarget{calls: calls}, runs: map[string]int{}, refused: map[string]bool{}}
		out.targets = append(out.targets, target)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go target.serve(c.(*net.TCPConn))
			}
		}()
		entry := calls.EntryAt("ready", l.Addr().String())
		addresses[l.Addr().String()] = true
		out.store.Set(entry.Key, entry.Value)
	}
	out.until("the node knows the addresses", func() bool {
		known := 0
		for _, service := range []string{"desk", "lm"} {
			for _, target := range out.node.view.fleet.Targets(service) {
				if addresses[target.Address] {
					known++
				}
			}
		}
		return known == len(addresses)
	})
	return out
}

// runsOf returns how often the targets have begun a request.
func (e *earlyEnv) runsOf(id string) int {
	n := 0
	for _, target := range e.targets {
		target.mu.Lock()
		n += target.runs[id]
		target.mu.Unlock()
	}
	return n
}

// sendEarly sends a request whose targets give the answer. Its body has a length, or comes in chunks.
func (e *earlyEnv) sendEarly(answer earlyAnswer, path, id string, size int, chunks bool, headers map[string]string) response {
	e.t.Helper()
	for _, target := range e.targets {
		target.answer.Store(&answer)
	}
	var body io.Reader = strings.NewReader(strings.Repeat("x", size))
	if chunks {
		body = io.MultiReader(body)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+e.node.FrontAddress()+path+"early", body)
	if err != nil {
		e.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Key", goodKey)
	req.Header.Set("Deadline-Ms", "5000")
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// earlyRoutes are the kinds of routes, and what their targets send of a body.
var earlyRoutes = []struct {
	path       string
	headers    map[string]string
	stream     bool
	repeatable bool
	resumable  bool
}{
	{"/hold/", nil, false, false, false},
	{"/stock/", nil, false, true, false},
	{"/match/", promptHeaders(), true, false, false},
	{"/draft/", promptHeaders(), true, true, true},
}

var earlyUploads = []struct {
	size   int
	chunks bool
}{{12 << 20, false}, {12 << 20, true}, {1 << 20, false}, {1 << 20, true}}

// earlyBody returns what a target sends ahead of the body, and of the body, of an answer that is cut.
func earlyBody(stream bool) (header, part string) {
	if stream {
		return "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n", "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
	}
	return "Content-Type: text/plain\r\n", "a part of the answer"
}

// cutAnswers returns answers of which a part of the body is sent.
func cutAnswers(stream bool) []earlyAnswer {
	header, part := earlyBody(stream)
	var out []earlyAnswer
	for _, status := range []string{"200 OK", "500 Internal Server Error"} {
		for _, framing := range []struct{ name, version, line, body string }{
			{"until close", "1.1", "", part},
			{"until close, stated", "1.1", "Connection: close\r\n", part},
			{"HTTP 1.0", "1.0", "", part},
			{"chunks", "1.1", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(part), part)},
			{"length", "1.1", fmt.Sprintf("Content-Length: %d\r\n", len(part)+10), part},
			{"until close, no body", "1.1", "", ""},
		} {
			for _, end := range []earlyEnd{endsByReset, endsUnread, endsHalf} {
				out = append(out, earlyAnswer{
					name: fmt.Sprintf("%s, %s, %s", status[:3], framing.name, end),
					text: fmt.Sprintf("HTTP/%s %s\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n%s%s\r\n%s", framing.version, status, header, framing.line, framing.body),
					end:  end,
				})
			}
		}
	}
	return out
}

// Guards against a part of a target's answer that counts as whole because the connection is reset
// while the request is still being written.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	for _, route := range earlyRoutes {
		t.Run(strings.Trim(route.path, "/"), func(t *testing.T) {
			e := newEarlyEnv(t, newFailureLog(t))
			sent, wrong := 0, 0
			for n, answer := range cutAnswers(route.stream) {
				for i, upload := range earlyUploads {
					if route.resumable && i != n%len(earlyUploads) {
						// Each goes on at another target, after a wait.
						continue
					}
					answer.after, answer.pause = int64(i%2*100_000), time.Duration(1+i)*time.Millisecond
					sent++
					id := fmt.Sprintf("early-%s-%d", strings.Trim(route.path, "/"), sent)
					got := e.sendEarly(answer, route.path, id, upload.size, upload.chunks, route.headers)
					// After failures no target may be left, which is said of a request that has not run.
					refused := got.status == http.StatusServiceUnavailable && e.runsOf(id) == 0
					if got.err == nil && got.status != http.StatusBadGateway && !refused {
						wrong++
						t.Errorf("%s, upload %+v: answered %d %q, want 502 or a response that breaks off", answer.name, upload, got.status, got.body)
					}
					if got.status == http.StatusBadGateway && !strings.Contains(got.body, `"outcome":"unknown"`) {
						t.Errorf("%s: answered %q, want the outcome unknown", answer.name, got.body)
					}
					if n := e.runsOf(id); n != 1 && !route.repeatable && !refused {
						t.Errorf("%s: %d runs, want 1", answer.name, n)
					}
					if got := e.sendEarly(earlyAnswer{}, route.path+"sound/not-", "sound-"+id, 10, false, route.headers); got.err != nil {
						t.Errorf("%s: a request after it failed: %v", answer.name, got.err)
					}
				}
			}
			t.Logf("%d of %d answers counted as whole", wrong, sent)
		})
	}
}

// Guards against whole answers that are refused because they come before the request has been read.
func TestWholeEarlyAnswerIsServed(t *testing.T) {
	for _, route := range earlyRoutes {
		t.Run(strings.Trim(route.path, "/"), func(t *testing.T) {
			e := newEarlyEnv(t, newFailureLog(t))
			header, body := earlyBody(route.stream)
			for _, answer := range []earlyAnswer{
				{name: "length", text: fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), end: keeps},
				{name: "chunks", text: fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body), end: keeps},
				{name: "until close", text: "\r\n" + body, end: endsLingering},
			} {
				answer.text = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n" + header + answer.text
				for _, size := range []int{10, 1 << 20, 12 << 20} {
					id := fmt.Sprintf("whole-%s-%s-%d", strings.Trim(route.path, "/"), answer.name, size)
					got := e.sendEarly(answer, route.path, id, size, false, route.headers)
					if got.err != nil || got.status != http.StatusOK || got.body != body {
						t.Errorf("%s, %d bytes sent: answered %d %q (%v)", answer.name, size, got.status, got.body, got.err)
					}
					if n := e.runsOf(id); n != 1 {
						t.Errorf("%s: %d runs, want 1", answer.name, n)
					}
				}
			}
		})
	}
}

// Guards against a cut answer that a client of HTTP/1.0, which knows no chunks, takes for whole.
func TestEarlyResetReachesClientOfHTTP10(t *testing.T) {
	e := newEarlyEnv(t, newFailureLog(t))
	for _, route := range earlyRoutes {
		header, part := earlyBody(route.stream)
		for _, end := range []earlyEnd{endsByReset, endsUnread, endsHalf} {
			answer := earlyAnswer{text: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n" + header + "\r\n" + part, end: end, pause: 2 * time.Millisecond}
			for _, target := range e.targets {
				target.answer.Store(&answer)
			}
			id := fmt.Sprintf("http10-%s-%s", strings.Trim(route.path, "/"), strings.Fields(string(end))[0])
			got, err := e.sendHTTP10(route.path+"early", id, 1<<20, route.headers)
			refused := strings.HasPrefix(got, "HTTP/1.0 503 ") && e.runsOf(id) == 0
			if err == nil && !strings.HasPrefix(got, "HTTP/1.0 502 ") && !refused {
				t.Errorf("%s, %s: answered %q and ended in order", route.path, end, got)
			}
		}
	}
}

// sendHTTP10 sends a request as a client of HTTP/1.0 and returns all that it gets. The error is nil if
// the connection has ended in order.
func (e *earlyEnv) sendHTTP10(path, id string, size int, headers map[string]string) (string, error) {
	e.t.Helper()
	c, err := net.Dial("tcp", e.node.FrontAddress())
	if err != nil {
		e.t.Fatal(err)
	}
	defer c.Close()
	head := fmt.Sprintf("POST %s HTTP/1.0\r\nHost: h.example\r\nRequest-Id: %s\r\nKey: %s\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n", path, id, goodKey, size)
	for name, value := range headers {
		head += name + ": " + value + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"+strings.Repeat("x", size)); err != nil {
		e.t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	return string(got), err
}

// Guards against a cut answer that its request's log line shows as a complete one.
func TestEarlyResetIsLogged(t *testing.T) {
	log := &lockedBuffer{}
	e := newEarlyEnv(t, telemetry.NewLoggerTo(log, "info"))
	for _, end := range []earlyEnd{endsByReset, endsUnread, endsHalf} {
		answer := earlyAnswer{text: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n\r\na part", end: end, pause: 2 * time.Millisecond}
		id := "logged-" + strings.Fields(string(end))[0]
		e.sendEarly(answer, "/hold/", id, 12<<20, false, nil)
		e.until("the request is logged", func() bool { return requestLine(log.String(), id) != "" })
		line := requestLine(log.String(), id)
		// An attempt that fails before the HTTP library returns its response has no framing.
		if strings.Contains(line, "framing=") && !strings.Contains(line, "end=error") || strings.Contains(line, "end=complete") {
			t.Errorf("%s: logged %s", end, line)
		}
	}
}

// requestLine returns the log line of a request's end, empty if there is none.
func requestLine(log, id string) string {
	for line := range strings.Lines(log) {
		if strings.Contains(line, "event=request ") && strings.Contains(line, id) {
			return line
		}
	}
	return ""
}
