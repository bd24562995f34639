package door

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

func serve(h http.HandlerFunc) (*Server, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := &http.Server{Handler: h, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute}
	return Start("127.0.0.1:0", server, Telemetry{Log: log})
}

func open(t *testing.T, h http.HandlerFunc) *Server {
	t.Helper()
	d, err := serve(h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	return d
}

// ample is a timeout that is long enough on a busy machine.
const ample = 20 * time.Second

func shutdownOptions(interrupt func()) ShutdownOptions {
	now := time.Now()
	return ShutdownOptions{AnswerDeadline: now.Add(ample), Interrupt: interrupt, Deadline: now.Add(2 * ample)}
}

// wholeGet is a complete request.
const wholeGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// ask opens a connection, which the test's cleanup closes, and sends text on it.
func ask(t *testing.T, d *Server, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", d.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

func answer(in *bufio.Reader) (int, error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Connections in the kernel's accept queue were reset with complete requests on them when
// the listener closed. All wait there, since accepting is blocked until the shutdown.
func TestShutdownAnswersQueuedConnections(t *testing.T) {
	const clients = 60
	d := open(t, func(http.ResponseWriter, *http.Request) {})
	d.conns.mu.Lock()
	var conns []net.Conn
	for range clients {
		conns = append(conns, ask(t, d, wholeGet))
	}
	ended := make(chan bool)
	go func() { ended <- d.Shutdown(shutdownOptions(func() {})) }()
	d.conns.mu.Unlock()
	for i, c := range conns {
		if status, err := answer(bufio.NewReader(c)); err != nil || status != http.StatusOK {
			t.Errorf("client %d of %d: got status %d (%v)", i, clients, status, err)
		}
	}
	if !<-ended {
		t.Error("Shutdown reports interrupted requests")
	}
}

// The final deadline of an idle connection must end with the first byte of a request; kept
// on, it cut off the rest or cancelled the request's context.
func TestShutdownAnswersBusyConnections(t *testing.T) {
	var taken, answered sync.Map
	d := open(t, func(w http.ResponseWriter, r *http.Request) { taken.Store(r.URL.Path, true) })
	var clients sync.WaitGroup
	for i := range 8 {
		c, err := net.Dial("tcp", d.Address())
		if err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(c)
		clients.Go(func() {
			defer c.Close()
			for n := 0; ; n++ {
				path := fmt.Sprintf("/%d/%d", i, n)
				if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
					return
				}
				if _, err := answer(in); err != nil {
					return
				}
				answered.Store(path, true)
				time.Sleep(time.Duration(n%120) * time.Millisecond)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	if !d.Shutdown(shutdownOptions(func() {})) {
		t.Error("Shutdown reports interrupted requests")
	}
	clients.Wait()
	taken.Range(func(path, _ any) bool {
		if _, ok := answered.Load(path); !ok {
			t.Errorf("request %v was accepted and not answered", path)
		}
		return true
	})
}

// A request that waits for something that never comes is interrupted at the answer deadline,
// and its response must be sent before the server closes.
func TestShutdownInterruptsWaitingRequests(t *testing.T) {
	ctx, interrupt := context.WithCancel(context.Background())
	begun := make(chan struct{})
	d := open(t, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-ctx.Done()
		w.WriteHeader(http.StatusBadGateway)
	})
	c := ask(t, d, wholeGet)
	<-begun
	e := shutdownOptions(interrupt)
	e.AnswerDeadline = time.Now()
	if d.Shutdown(e) {
		t.Error("Shutdown reports no interrupted request")
	}
	if status, err := answer(bufio.NewReader(c)); err != nil || status != http.StatusBadGateway {
		t.Errorf("got status %d (%v)", status, err)
	}
}

// Guards against requests that are closed without a final response as a stop ends, because there are
// more of them than can be answered after the answer deadline.
func TestManyWaitingRequestsAreInterruptedEarlier(t *testing.T) {
	now := time.Now()
	o := ShutdownOptions{
		AnswerDeadline: now.Add(7500 * time.Millisecond), Deadline: now.Add(7700 * time.Millisecond),
		AnswerTime: 2 * time.Millisecond, EarliestInterrupt: now.Add(6600 * time.Millisecond),
	}
	for _, test := range []struct {
		waiting connCounts
		after   time.Duration
		want    bool
	}{
		{connCounts{open: 400}, 6850 * time.Millisecond, false},
		{connCounts{open: 400}, 6950 * time.Millisecond, true},
		{connCounts{open: 400, idle: 390}, 7450 * time.Millisecond, false},
		{connCounts{open: 4000}, 6550 * time.Millisecond, false},
		{connCounts{open: 4000}, 6650 * time.Millisecond, true},
	} {
		if got := o.mustInterrupt(test.waiting, now.Add(test.after)); got != test.want {
			t.Errorf("%+v after %v: interrupted %t, want %t", test.waiting, test.after, got, test.want)
		}
	}

	ctx, interrupt := context.WithCancel(context.Background())
	begun := make(chan struct{})
	d := open(t, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-ctx.Done()
		w.WriteHeader(http.StatusBadGateway)
	})
	c := ask(t, d, wholeGet)
	<-begun
	options := shutdownOptions(interrupt)
	// One response takes all of the time that is left.
	options.AnswerTime = 2 * ample
	if d.Shutdown(options) {
		t.Error("Shutdown reports no interrupted request")
	}
	if status, err := answer(bufio.NewReader(c)); err != nil || status != http.StatusBadGateway {
		t.Errorf("got status %d (%v)", status, err)
	}
	if !time.Now().Before(options.AnswerDeadline) {
		t.Error("the request was interrupted no earlier than at the answer deadline")
	}
}
