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

// ample is a time within which everything that must come has come, on a busy
// machine too.
const ample = 20 * time.Second

func ending(interrupt func()) ShutdownOptions {
	now := time.Now()
	return ShutdownOptions{AnswerDeadline: now.Add(ample), Interrupt: interrupt, Deadline: now.Add(2 * ample)}
}

// wholeGet is a whole request.
const wholeGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// ask opens a connection, which the test's end closes, and sends text on it.
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

// Many clients connect and send at the very moment at which a door ends. Some of their connections wait in the kernel's
// queue by then; those that the door closes without a look at the queue are reset with whole requests on them. The door is
// kept from accepting until it ends, so that all of them wait there.
func TestEndAnswersWhatWaitsInTheQueue(t *testing.T) {
	const clients = 60
	d := open(t, func(http.ResponseWriter, *http.Request) {})
	d.conns.mu.Lock()
	var conns []net.Conn
	for range clients {
		conns = append(conns, ask(t, d, wholeGet))
	}
	ended := make(chan bool)
	go func() { ended <- d.Shutdown(ending(func() {})) }()
	d.conns.mu.Unlock()
	for i, c := range conns {
		if status, err := answer(bufio.NewReader(c)); err != nil || status != http.StatusOK {
			t.Errorf("client %d of %d: answered %d (%v)", i, clients, status, err)
		}
	}
	if !<-ended {
		t.Error("the end says that requests were given up")
	}
}

// Clients use their kept connections without a pause while the door ends, and some come in the last time that an idle
// connection gets. That time must end with the request's first byte: kept on, it cut the rest, or told the request that its
// client had left. Each request that was taken is answered.
func TestEndLosesNothingOnBusyConnections(t *testing.T) {
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
	if !d.Shutdown(ending(func() {})) {
		t.Error("the end says that requests were given up")
	}
	clients.Wait()
	taken.Range(func(path, _ any) bool {
		if _, ok := answered.Load(path); !ok {
			t.Errorf("%v was taken and not answered", path)
		}
		return true
	})
}

// A request waits for something that never comes. When the time for answers is over it is interrupted, and gets the answer
// that it then gives, before the door ends.
func TestEndInterruptsWhatWaits(t *testing.T) {
	ctx, interrupt := context.WithCancel(context.Background())
	begun := make(chan struct{})
	d := open(t, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-ctx.Done()
		w.WriteHeader(http.StatusBadGateway)
	})
	c := ask(t, d, wholeGet)
	<-begun
	e := ending(interrupt)
	e.AnswerDeadline = time.Now()
	if d.Shutdown(e) {
		t.Error("the end says that all was answered in its own time")
	}
	if status, err := answer(bufio.NewReader(c)); err != nil || status != http.StatusBadGateway {
		t.Errorf("answered %d (%v)", status, err)
	}
}
