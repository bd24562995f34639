package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against a target that gets requests whose clients have left before the entry reads them: on
// one processor the goroutine that notices it runs only when the request has been passed on.
func TestRequestsOfDepartedClientsAreNotPassedOn(t *testing.T) {
	const clients = 50
	w := newEnv(t)
	w.node.frontend.CheckForDepartedClients(func() bool { return true })
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for i := range clients {
		for _, path := range anyPath {
			conn, err := net.Dial("tcp", w.node.FrontAddress())
			if err != nil {
				t.Fatal(err)
			}
			// The end of the connection is sent together with the request.
			raw, err := conn.(*net.TCPConn).SyscallConn()
			if err == nil {
				err = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1) })
			}
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, departureMessage("POST", path, fmt.Sprintf("gone-%d", i), time.Second))
			_ = conn.Close()
		}
	}
	// A request of a client that stays is read after them.
	if a := w.send("GET", "/stock/x", "", nil); a.status != http.StatusOK {
		t.Errorf("a client that stays got %d (%v)", a.status, a.err)
	}
	for _, s := range w.executed(append(w.runners, w.plainTargets...)) {
		if strings.HasPrefix(s.ID, "gone-") {
			t.Errorf("%s %s was passed on", s.Method, s.URI)
		}
	}
}
