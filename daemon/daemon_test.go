package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// daemon is a service that runs in the test process and is stopped by a signal to it.
type daemon struct {
	t       *testing.T
	address string
	// served counts the requests that reached the handler, reread the calls of Reread.
	served atomic.Int64
	reread atomic.Int64
	ended  chan error
}

func startDaemon(t *testing.T, limit time.Duration) *daemon {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &daemon{t: t, address: free.Addr().String(), ended: make(chan error, 1)}
	free.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &Service{
		Log: log, Listen: d.address, Stop: func(context.Context) {}, StopLimit: limit,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			d.served.Add(1)
			if r.URL.Path == blockingPath {
				<-r.Context().Done()
				_, _ = io.WriteString(w, context.Cause(r.Context()).Error())
				return
			}
			_, _ = io.Copy(w, r.Body)
		}),
		Reread: func() error { d.reread.Add(1); return errors.New("no such setting") },
	}
	go func() { d.ended <- s.Serve("test") }()
	d.waitUntil("the daemon serves requests", d.acceptsConnections)
	return d
}

// waitTimeout bounds each wait for an expected event; no test checks the duration.
const waitTimeout = 20 * time.Second

func (d *daemon) waitUntil(what string, done func() bool) {
	d.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	d.t.Fatalf("timed out waiting until %s", what)
}

// acceptsConnections reports whether a new connection is accepted and served.
func (d *daemon) acceptsConnections() bool {
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		return false
	}
	defer c.Close()
	_, err = roundTrip(c, bufio.NewReader(c), head+rest)
	return err == nil
}

// signal sends s to the test process.
func (d *daemon) signal(s syscall.Signal) {
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		d.t.Fatal(err)
	}
}

// head and rest are the two parts of a request.
const (
	head = "GET / HTTP/1.1\r\nHost: h\r\n"
	rest = "X: y\r\n\r\n"
)

// blockingPath is the path of requests that end only when their context is canceled.
const blockingPath = "/endless"

// reply is a response as the client sees it.
type reply struct {
	body string
	// closes is set if the response has "Connection: close".
	closes bool
}

// roundTrip sends text and reads one response.
func roundTrip(c net.Conn, in *bufio.Reader, text string) (reply, error) {
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		return reply{}, err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{body: string(body), closes: resp.Close}, err
}

// A request whose head is half read at shutdown must be answered, or its client cannot know whether it ran. http.Server.Shutdown
// ends kept-alive connections at once and new ones after the head, both without a response.
func TestStopAnswersWhatIsRead(t *testing.T) {
	for _, kept := range []bool{false, true} {
		t.Run(fmt.Sprintf("kept=%v", kept), func(t *testing.T) {
			d := startDaemon(t, waitTimeout)
			c, err := net.Dial("tcp", d.address)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			in := bufio.NewReader(c)
			if kept {
				if _, err := roundTrip(c, in, head+rest); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := io.WriteString(c, head); err != nil {
				t.Fatal(err)
			}
			// Connections are accepted in order: once this one has been served, the first
			// has been accepted too and the daemon has its partial head.
			if !d.acceptsConnections() {
				t.Fatal("not served before the stop")
			}
			d.signal(syscall.SIGTERM)
			d.waitUntil("no new connections are taken", func() bool { return !d.acceptsConnections() })
			a, err := roundTrip(c, in, rest)
			if err != nil {
				t.Errorf("a completely read request got no answer: %v", err)
			}
			if !a.closes {
				t.Error("the response has no \"Connection: close\"")
			}
			c.Close()
			if err := <-d.ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// A request that exceeds StopLimit must be answered with outcome unknown: the client cannot
// tell a connection closed without a response from a network failure.
func TestStopLimitIsAnswered(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		t.Run(fmt.Sprintf("http2=%v", http2), func(t *testing.T) {
			d := startDaemon(t, 100*time.Millisecond)
			client := newClient(http2)
			defer client.CloseIdleConnections()
			before := d.served.Load()
			answered := make(chan error, 1)
			go func() {
				body, err := call(client, d.address+blockingPath)
				if err == nil && body != errStopping().Error() {
					err = fmt.Errorf("answered %q", body)
				}
				answered <- err
			}()
			d.waitUntil("the request runs", func() bool { return d.served.Load() > before })
			d.signal(syscall.SIGTERM)
			if err := <-answered; err != nil {
				t.Error(err)
			}
			if err := <-d.ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// SIGHUP after a faulty settings change must not interrupt requests: without a handler, the
// default action of the signal ends the process.
func TestHangUpEndsNothing(t *testing.T) {
	d := startDaemon(t, waitTimeout)
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, head); err != nil {
		t.Fatal(err)
	}
	d.signal(syscall.SIGHUP)
	d.waitUntil("the settings are read again", func() bool { return d.reread.Load() > 0 })
	if _, err := roundTrip(c, bufio.NewReader(c), rest); err != nil {
		t.Errorf("a request got no answer: %v", err)
	}
	c.Close()
	d.signal(syscall.SIGTERM)
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// Calls on one HTTP/2 connection during a shutdown must be answered or fail at dial, before
// they are sent; otherwise the client cannot safely retry them on another process.
func TestStopLosesNoStream(t *testing.T) {
	d := startDaemon(t, waitTimeout)
	client := newClient(true)
	defer client.CloseIdleConnections()
	before := d.served.Load()
	var answered atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for {
				_, err := call(client, d.address)
				if err == nil {
					answered.Add(1)
					continue
				}
				var op *net.OpError
				if !errors.As(err, &op) || op.Op != "dial" {
					t.Errorf("a call that may have reached the daemon got no answer: %v", err)
				}
				return
			}
		})
	}
	d.waitUntil("calls are answered", func() bool { return answered.Load() > 0 })
	d.signal(syscall.SIGTERM)
	wg.Wait()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
	if n := d.served.Load() - before; n != answered.Load() {
		t.Errorf("%d calls ran, %d were answered", n, answered.Load())
	}
}

// newClient returns an HTTP/2 client, as used between the processes of the system, or an
// HTTP/1 client.
func newClient(http2 bool) *http.Client {
	var protocols http.Protocols
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	return &http.Client{Transport: &http.Transport{Protocols: &protocols}}
}

// call sends one request and returns the response body.
func call(client *http.Client, where string) (string, error) {
	resp, err := client.Post("http://"+where, "text/plain", strings.NewReader("x"))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
