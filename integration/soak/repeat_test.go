package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

// wholeRequests are requests that may run only once, as they may be sent, by what is sent.
func wholeRequests(id string) map[string]string {
	head := fmt.Sprintf("POST /hold/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nKey: %s\r\nDeadline-Ms: 14000\r\n", host, id, goodKey)
	large := strings.Repeat("b", 4096)
	return map[string]string{
		"no body":                    head + "Content-Length: 0\r\n\r\n",
		"a length":                   head + "Content-Length: 3\r\n\r\nbox",
		"a body of the largest size": head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(large), large),
		"chunks":                     head + "Transfer-Encoding: chunked\r\n\r\n3\r\nbox\r\n0\r\n\r\n",
		"chunks and trailers":        head + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n3\r\nbox\r\n0\r\nX-Sum: 1\r\n\r\n",
		"an empty line after":        head + "Content-Length: 3\r\n\r\nbox\r\n",
	}
}

// Guards against a second run by the client's own repeat: a connection on which a request has been
// read and passed on must not end like one whose request was never read, which a reset tells.
func TestEndOfPassedOnRequestIsNoReset(t *testing.T) {
	ends := map[string]func(e *entry){
		"killed": func(e *entry) { e.signal(syscall.SIGKILL) },
		"stopped, and killed in the notice": func(e *entry) {
			e.signal(syscall.SIGTERM)
			time.Sleep(500 * time.Millisecond)
			e.signal(syscall.SIGKILL)
		},
		"frozen, and killed": func(e *entry) {
			e.signal(syscall.SIGSTOP)
			time.Sleep(200 * time.Millisecond)
			e.signal(syscall.SIGKILL)
		},
	}
	for how, end := range ends {
		t.Run(how, func(t *testing.T) {
			s := newSite(t, 1, regression{direct: true})
			s.await("the entry is ready", s.allReady)
			for _, tg := range s.desks {
				tg.SetFault(runner.Mute)
			}
			e := s.entries[0]
			conns := map[string]net.Conn{}
			for what := range wholeRequests("") {
				id := strings.ReplaceAll(what, " ", "-")
				conn, err := net.Dial("tcp", e.front)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				conns[what] = conn
				if _, err := io.WriteString(conn, wholeRequests(id)[what]); err != nil {
					t.Fatal(err)
				}
			}
			s.await("the targets have the requests", func() bool {
				arrived := 0
				for _, tg := range s.desks {
					arrived += len(tg.Seen())
				}
				return arrived == len(conns)
			})
			end(e)
			for what, conn := range conns {
				_ = conn.SetReadDeadline(time.Now().Add(patience))
				if data, err := io.ReadAll(conn); errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("a request with %s that a target has: its connection ended with %v after %q", what, err, data)
				}
			}
		})
	}
}
