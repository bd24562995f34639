package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// acceptStall is longer than two load reports take that get no answer.
const acceptStall = 2*loadTimeout + 400*time.Millisecond

// stallingListener returns accepted connections only while stall is free.
type stallingListener struct {
	*net.TCPListener
	stall sync.Mutex
}

func (l *stallingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	l.stall.Lock()
	defer l.stall.Unlock()
	return conn, err
}

// fillQueue makes the kernel drop further connections to the listener until it accepts again.
func (l *stallingListener) fillQueue(t *testing.T) {
	t.Helper()
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		t.Fatal(err, listenErr)
	}
	const most = 8
	for range most {
		conn, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Fatalf("the queue took %d connections", most)
}

// Guards against an engine that accepts connections late and is taken for down, though it answers on
// those it has: requests to it are refused, and what is known of its cache is lost.
func TestEngineThatAcceptsLateIsUp(t *testing.T) {
	for name, full := range map[string]bool{"queue takes connections": false, "queue is full": true} {
		t.Run(name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &stallingListener{TCPListener: inner.(*net.TCPListener)}
			server := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"boot_id":"b"}`)
			})}
			go func() { _ = server.Serve(l) }()
			defer server.Close()
			r := newTestRunner("http://" + inner.Addr().String())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go r.watchLoad(ctx)
			awaitEngine(t, r, true, 10*time.Second)

			l.stall.Lock()
			if full {
				l.fillQueue(t)
			}
			for stalledAt := time.Now(); time.Since(stalledAt) < acceptStall; time.Sleep(5 * time.Millisecond) {
				if !r.engineUp() {
					l.stall.Unlock()
					t.Fatalf("the engine counts as down %v after it stopped to accept", time.Since(stalledAt))
				}
			}
			l.stall.Unlock()
			server.Close()
			awaitEngine(t, r, false, 10*time.Second)
		})
	}
}

func awaitEngine(t *testing.T, r *runner, up bool, timeout time.Duration) {
	t.Helper()
	for end := time.Now().Add(timeout); r.engineUp() != up; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the engine doesn't count as up: %t", up)
		}
	}
}
