package door

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// timeoutConn reports a timeout at the deadline of the first read without asking the kernel, as
// the runtime does if no processor was idle to poll the network meanwhile.
type timeoutConn struct {
	*net.TCPConn
	deadline time.Time
	reads    int
}

func (c *timeoutConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return c.TCPConn.SetReadDeadline(t)
}

func (c *timeoutConn) Read(p []byte) (int, error) {
	c.reads++
	if c.reads == 1 {
		time.Sleep(time.Until(c.deadline))
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(p)
}

// Guards against an idle connection that is closed with a request unread, because the runtime
// reported the timeout in time and without having looked for data.
func TestTimeoutWithDataUnreadIsRepeated(t *testing.T) {
	l := listenTCP(t)
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	conns := &connSet{telemetry: Telemetry{Log: log}, open: map[*conn]struct{}{}}
	c := conns.add(&timeoutConn{TCPConn: server})
	c.accepted = time.Now().Add(-firstByteGrace)
	conns.startClosing()
	conns.counts()
	if _, err := io.WriteString(client, wholeGet); err != nil {
		t.Fatal(err)
	}
	received := make([]byte, len(wholeGet))
	if n, err := io.ReadFull(c, received); err != nil || string(received) != wholeGet {
		t.Errorf("read %d bytes of %d (%v)", n, len(wholeGet), err)
	}
}
