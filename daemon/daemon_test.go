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

// daemon is a service that runs in this process and is stopped by a signal to it.
type daemon struct {
	t       *testing.T
	address string
	// served counts requests that reached the handler, reread how often the
	// settings were read again.
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
			if r.URL.Path == endless {
				<-r.Context().Done()
				_, _ = io.WriteString(w, context.Cause(r.Context()).Error())
				return
			}
			_, _ = io.Copy(w, r.Body)
		}),
		Reread: func() error { d.reread.Add(1); return errors.New("no such setting") },
	}
	go func() { d.ended <- s.Serve("test") }()
	d.until("it serves", d.takes)
	return d
}

// patience bounds the waiting for what must come; no test judges how long it took.
const patience = 20 * time.Second

func (d *daemon) until(what string, done func() bool) {
	d.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	d.t.Fatalf("waited in vain until %s", what)
}

// takes reports whether a new connection is taken and served.
func (d *daemon) takes() bool {
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		return false
	}
	defer c.Close()
	_, err = ask(c, bufio.NewReader(c), head+rest)
	return err == nil
}

// signal sends a signal to this process.
func (d *daemon) signal(s syscall.Signal) {
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		d.t.Fatal(err)
	}
}

// A request in two halves.
const (
	head = "GET / HTTP/1.1\r\nHost: h\r\n"
	rest = "X: y\r\n\r\n"
)

// endless is the path of requests that end only with their context.
const endless = "/endless"

// reply is what a caller sees of an answer.
type reply struct {
	body string
	// last is set where the daemon says that it closes the connection.
	last bool
}

// ask sends text and reads one answer.
func ask(c net.Conn, in *bufio.Reader, text string) (reply, error) {
	_ = c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, text); err != nil {
		return reply{}, err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{body: string(body), last: resp.Close}, err
}

// A caller has sent half of a request's head when the daemon is told to stop,
// and sends the other half once no new connections are taken. The daemon reads
// the whole request, so it must answer it: a caller that gets a closed connection
// can't know whether the request ran. The HTTP server's shutdown closes
// connections on which it has served before, whatever has been read of the next
// request, and ends the others without a word once their head is whole.
func TestStopAnswersWhatIsRead(t *testing.T) {
	for _, kept := range []bool{false, true} {
		t.Run(fmt.Sprintf("kept=%v", kept), func(t *testing.T) {
			d := startDaemon(t, patience)
			c, err := net.Dial("tcp", d.address)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			in := bufio.NewReader(c)
			if kept {
				if _, err := ask(c, in, head+rest); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := io.WriteString(c, head); err != nil {
				t.Fatal(err)
			}
			// Connections are accepted in their order, so this one's end shows that
			// the first has been; its half of a head is at the daemon then.
			if !d.takes() {
				t.Fatal("not served before the stop")
			}
			d.signal(syscall.SIGTERM)
			d.until("no new connections are taken", func() bool { return !d.takes() })
			a, err := ask(c, in, rest)
			if err != nil {
				t.Errorf("a request that was read whole got no answer: %v", err)
			}
			if !a.last {
				t.Error("the caller isn't told to take another connection")
			}
			c.Close()
			if err := <-d.ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// A request takes longer than a stop may. It must end with an answer that says
// so, and that it may have run; its caller could not tell a connection that only
// closes from a network that failed.
func TestStopLimitIsAnswered(t *testing.T) {
	for _, framed := range []bool{false, true} {
		t.Run(fmt.Sprintf("http2=%v", framed), func(t *testing.T) {
			d := startDaemon(t, 100*time.Millisecond)
			client := newClient(framed)
			defer client.CloseIdleConnections()
			before := d.served.Load()
			answered := make(chan error, 1)
			go func() {
				body, err := call(client, d.address+endless)
				if err == nil && body != errEnding().Error() {
					err = fmt.Errorf("answered %q", body)
				}
				answered <- err
			}()
			d.until("the request runs", func() bool { return d.served.Load() > before })
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

// An operator changes the settings file, makes a mistake in it, and sends the
// daemon SIGHUP, as for other daemons. A caller is in the middle of a request.
// The signal must not cost it its answer: where nobody takes it, it ends a
// process at once, with all that runs there.
func TestHangUpEndsNothing(t *testing.T) {
	d := startDaemon(t, patience)
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, head); err != nil {
		t.Fatal(err)
	}
	d.signal(syscall.SIGHUP)
	d.until("the settings are read again", func() bool { return d.reread.Load() > 0 })
	if _, err := ask(c, bufio.NewReader(c), rest); err != nil {
		t.Errorf("a request got no answer: %v", err)
	}
	c.Close()
	d.signal(syscall.SIGTERM)
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// The system's own processes talk over one HTTP/2 connection, and go on to call
// a daemon that stops. Each call must be answered, or fail before it was sent
// to a process that is there: then its sender may take it elsewhere.
func TestStopLosesNoStream(t *testing.T) {
	d := startDaemon(t, patience)
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
	d.until("calls are answered", func() bool { return answered.Load() > 0 })
	d.signal(syscall.SIGTERM)
	wg.Wait()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
	if n := d.served.Load() - before; n != answered.Load() {
		t.Errorf("%d calls ran, %d were answered", n, answered.Load())
	}
}

// newClient returns a client of HTTP/2, as the system's own processes have, or
// of HTTP/1.
func newClient(framed bool) *http.Client {
	var protocols http.Protocols
	protocols.SetHTTP1(!framed)
	protocols.SetUnencryptedHTTP2(framed)
	return &http.Client{Transport: &http.Transport{Protocols: &protocols}}
}

// call makes one call and returns the body of its answer.
func call(client *http.Client, where string) (string, error) {
	resp, err := client.Post("http://"+where, "text/plain", strings.NewReader("x"))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
