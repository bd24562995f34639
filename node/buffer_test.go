package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciakeel/internal/standin/client"
	"acaciakeel/internal/standin/runner"
	"acaciakeel/platform"
	"acaciakeel/router"
	"acaciakeel/telemetry"
)

// Sizes of the streams of the tests: eventBytes for one event, and the numbers of events of
// a stream that fits into what one response may hold and of one that does not, beyond what
// the sockets of both connections hold.
const (
	eventBytes  = 1 << 10
	heldEvents  = 8 << 10
	tooManyHeld = 40 << 10
)

func bigEvent(i int) string {
	head := fmt.Sprintf("id: %d\ndata: ", i)
	return head + strings.Repeat("x", eventBytes-len(head)-2) + "\n\n"
}

// bigStreams is a target whose streams have as many events as the path says: /draft/COUNT.
type bigStreams struct {
	server *httptest.Server
	// ended gets the number of events that a stream sent.
	ended chan int
}

func startBigStreams(t *testing.T, r *runner.Runner) *bigStreams {
	t.Helper()
	b := &bigStreams{ended: make(chan int, 16)}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: r.Address()})
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		events, err := strconv.Atoi(strings.TrimPrefix(req.URL.Path, "/draft/"))
		if err != nil {
			proxy.ServeHTTP(w, req)
			return
		}
		h := w.Header()
		h.Set("Request-Id", req.Header.Get("Request-Id"))
		h.Set("Response-Seal", "s")
		h.Set("Weight-Versions", "1")
		h.Set("Content-Type", "text/event-stream")
		sent := 0
		for sent < events {
			if _, err := io.WriteString(w, bigEvent(sent+1)); err != nil {
				break
			}
			sent++
		}
		b.ended <- sent
	}))
	t.Cleanup(b.server.Close)
	t.Cleanup(b.server.CloseClientConnections)
	return b
}

// lockedBuffer is a buffer that is written and read concurrently.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// newSlowReaders returns an environment with a target of big streams for the model, and what
// its node logs.
func newSlowReaders(t *testing.T) (*testEnv, *bigStreams, *lockedBuffer) {
	t.Helper()
	log := &lockedBuffer{}
	w := newEnvWith(t, telemetry.NewLoggerTo(log, "info"))
	b := startBigStreams(t, w.runners[0])
	moved, leaving := w.runners[0].EntryAt("ready", b.server.Listener.Addr().String()), w.runners[1].Entry("draining")
	w.store.Set(moved.Key, moved.Value)
	w.store.Set(leaving.Key, leaving.Value)
	w.until("streams reach the target of big streams", func() bool {
		return strings.Contains(w.send("POST", "/draft/1", "box", promptHeaders()).body, "xx")
	})
	<-b.ended
	return w, b, log
}

// openSlow sends a request for a stream and returns the response, of which nothing but the
// header is read yet.
func openSlow(t *testing.T, w *testEnv, id string, events int) *http.Response {
	t.Helper()
	req, err := client.Request{
		Method: "POST", Host: "h.example", Path: fmt.Sprintf("/draft/%d", events), ID: id, Key: goodKey, Body: "box", Deadline: 5 * time.Second,
		Prompt: &client.Prompt{Model: model, Input: 900, Output: 50, Parts: "aa:400,bb:300,cc:200"},
	}.To(w.node.FrontAddress())
	if err != nil {
		t.Fatal(err)
	}
	// The client's kernel takes little that the client does not read. A buffer smaller than
	// the segments of loopback (64 KB) would slow the reading down to a window per time-out.
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			err = c.(*net.TCPConn).SetReadBuffer(256 << 10)
		}
		return c, err
	}}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// gauge returns the sum of a metric over its labels.
func (w *testEnv) gauge(name string) float64 {
	families, err := w.node.registry.Gather()
	if err != nil {
		w.t.Error(err)
	}
	sum := 0.0
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			sum += m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
	}
	return sum
}

// Guards against a client that does not read and thereby stops the entry from reading the
// target, which aborts a response that stays unread: the target must be read to its end,
// other clients must be served meanwhile, and the client must get the whole stream once it
// reads, in order.
func TestUnreadStreamIsHeld(t *testing.T) {
	w, target, _ := newSlowReaders(t)
	slow := openSlow(t, w, "slow-1", heldEvents)
	if sent := <-target.ended; sent != heldEvents {
		t.Fatalf("the target could send %d events of %d", sent, heldEvents)
	}
	w.until("the entry holds the stream", func() bool {
		return w.gauge("keel_node_response_bytes_held") > heldEvents*eventBytes/2 && w.gauge("keel_node_responses_held") == 1
	})
	for range 20 {
		if a := w.send("POST", "/draft/3", "box", promptHeaders()); a.err != nil || len(a.body) != 3*eventBytes {
			t.Fatalf("another client got %d bytes (%v)", len(a.body), a.err)
		}
		<-target.ended
	}
	if held := w.gauge("keel_node_response_bytes_largest"); held > router.MaxHeldResponse {
		t.Errorf("%v bytes held for one response", held)
	}
	body, err := io.ReadAll(slow.Body)
	var want strings.Builder
	for i := range heldEvents {
		want.WriteString(bigEvent(i + 1))
	}
	if err != nil || string(body) != want.String() {
		t.Errorf("the slow client got %d bytes of %d (%v)", len(body), want.Len(), err)
	}
	w.until("nothing is held", func() bool { return w.gauge("keel_node_response_bytes_held") == 0 })
}

// Guards against memory without bound, and against an aborted stream that looks whole: beyond
// what one response may hold the stream breaks off at an error of the connection, and the
// log names the request.
func TestUnreadStreamBeyondLimitIsAborted(t *testing.T) {
	w, target, log := newSlowReaders(t)
	slow := openSlow(t, w, "slow-2", tooManyHeld)
	if sent := <-target.ended; sent == tooManyHeld {
		t.Fatal("the target could send the whole stream")
	}
	w.until("the aborted response is logged", func() bool {
		return strings.Contains(log.String(), "event=response_aborted") && strings.Contains(log.String(), "request=slow-2")
	})
	if n := w.gauge("keel_node_responses_aborted_total"); n != 1 {
		t.Errorf("%v responses counted as aborted", n)
	}
	if body, err := io.ReadAll(slow.Body); err == nil {
		t.Errorf("%d bytes of %d look like a whole response", len(body), tooManyHeld*eventBytes)
	}
	w.until("nothing is held", func() bool { return w.gauge("keel_node_response_bytes_held") == 0 })
}

// Guards against a buffer that stays after its client has disconnected.
func TestDisconnectedClientFreesItsBuffer(t *testing.T) {
	w, target, _ := newSlowReaders(t)
	slow := openSlow(t, w, "slow-3", heldEvents)
	<-target.ended
	w.until("the entry holds the stream", func() bool { return w.gauge("keel_node_responses_held") == 1 })
	_ = slow.Body.Close()
	w.until("nothing is held", func() bool { return w.gauge("keel_node_response_bytes_held") == 0 })
}

// Guards against a planned stop that cuts off what is held: the client gets the whole stream
// if it reads within the grace period.
func TestPlannedStopDeliversHeldStream(t *testing.T) {
	w, target, _ := newSlowReaders(t)
	slow := openSlow(t, w, "slow-4", heldEvents)
	<-target.ended
	w.until("the entry holds the stream", func() bool { return w.gauge("keel_node_responses_held") == 1 })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		w.node.Stop()
	}()
	w.until("new connections are refused", func() bool {
		c, err := net.Dial("tcp", w.node.FrontAddress())
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	if body, err := io.ReadAll(slow.Body); err != nil || len(body) != heldEvents*eventBytes {
		t.Errorf("the client got %d bytes of %d (%v)", len(body), heldEvents*eventBytes, err)
	}
	<-stopped
}

// The sum of what all responses hold comes from the VM's memory; without that setting it must
// not be unbounded.
func TestResponseLimits(t *testing.T) {
	for mb, want := range map[int]int64{536: 134 << 20, 112: 28 << 20, 0: 28 << 20} {
		s := platform.VMResources{MemoryMB: mb}
		if got := responseLimits(s.MemoryMB); got.Total != want || got.Response != router.MaxHeldResponse {
			t.Errorf("limits %+v at %d MB, want %d bytes in total", got, mb, want)
		}
	}
}
