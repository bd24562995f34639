package door

import (
	"net"
	"net/http"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against megabytes in the kernel for each client that reads slowly, and against a
// connection that is reported as writable and then blocks: one that is filled while it is
// writable holds less than maxUnsent and a segment of 64 KB.
func TestUnreadConnectionHoldsLittle(t *testing.T) {
	d := open(t, http.NotFound)
	client, err := net.Dial("tcp", d.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	var c *conn
	for c == nil {
		d.conns.mu.Lock()
		for c = range d.conns.open {
		}
		d.conns.mu.Unlock()
	}
	piece, total := make([]byte, 4<<10), 0
	for c.Writable() {
		n, err := c.Conn.Write(piece)
		if err != nil {
			t.Fatal(err)
		}
		total += n
	}
	unsent := 0
	if err := control(c.Conn.(*net.TCPConn), func(fd int) {
		unsent, err = unix.IoctlGetInt(fd, unix.SIOCOUTQNSD)
	}); err != nil {
		t.Fatal(err)
	}
	t.Logf("written %d bytes until not writable, of which %d unsent", total, unsent)
	if most := maxUnsent + 64<<10; unsent > most {
		t.Errorf("the kernel holds %d unsent bytes, want at most %d", unsent, most)
	}
}
