package door

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

func listenTCP(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.(*net.TCPListener)
}

// Guards against connections that are reset with a request on them because they arrive
// between the last accept and the close, for example while the process is stalled there.
func TestListenerRefusesBeforeItCloses(t *testing.T) {
	d, err := serve(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	l := newListener(listenTCP(t), d.conns)
	l.drain()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Fatalf("Accept returned %v, want the end of the listener", err)
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err == nil {
		_ = c.Close()
		t.Fatal("a connection arrived after the last accept; closing the listener resets it")
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("the client got %v, want a refused connection, after which it tries another process", err)
	}
}

// Guards against connections that are reset because their handshake was under way when new
// connections were refused. The kernel completes it with the first data here.
func TestRefusingKeepsHandshakesInProgress(t *testing.T) {
	l := listenTCP(t)
	var optionErr error
	if err := control(l, func(fd int) {
		optionErr = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, int(ample.Seconds()))
	}); err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := refuseConnections(l); err != nil {
		t.Fatal(err)
	}
	if readable(l) {
		t.Fatal("the handshake completed before the test could refuse connections")
	}
	if _, err := io.WriteString(c, "hello"); err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	received := make([]byte, len("hello"))
	if _, err := io.ReadFull(accepted, received); err != nil || string(received) != "hello" {
		t.Errorf("received %q (%v)", received, err)
	}
}
