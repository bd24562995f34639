package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

// Guards against a response that an entry has begun and that looks whole once the entry is killed,
// whose kernel then closes its connections in order: by each version of HTTP.
func TestKilledEntryCompletesNoResponse(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		t.Run(version, func(t *testing.T) {
			s := newSite(t, 1, regression{direct: true})
			s.await("the entry is ready", s.allReady)
			for _, tg := range s.runners {
				tg.SetPace(time.Second)
			}
			e := s.entries[0]
			conn, err := net.Dial("tcp", e.front)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetReadDeadline(time.Now().Add(patience))
			_, _ = fmt.Fprintf(conn, "POST /match/x HTTP/%s\r\nHost: %s\r\nRequest-Id: id-1\r\nKey: %s\r\nModel: %s\r\nToken-Count: 900,50\r\nPrefix-Hash: aa:900\r\nContent-Length: 3\r\n\r\nbox", version, host, goodKey, model)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			first := make([]byte, len(runner.Event(1, 0)))
			if _, err := io.ReadFull(resp.Body, first); err != nil || string(first) != runner.Event(1, 0) {
				t.Fatalf("status %d, %q (%v)", resp.StatusCode, first, err)
			}
			e.kill()
			if rest, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("the response ended in order after %q", strings.TrimSpace(string(first)+string(rest)))
			}
		})
	}
}
