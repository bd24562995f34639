package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

// A client sends a head and half of a body, and its time ends. It read 400, which
// it doesn't repeat, and only once the rest had come. It must read at once that
// nothing ran, and that the connection, which has half a body on it, ends.
func TestBodyThatIsLateIsAPromise(t *testing.T) {
	w := newWorld(t)
	for _, framing := range []struct{ header, half string }{
		{"Content-Length: 10", "half "},
		{"Transfer-Encoding: chunked", "5\r\nhalf \r\n"},
	} {
		t.Run(framing.header, func(t *testing.T) {
			c, err := dial(w.node)
			if err != nil {
				t.Fatal(err)
			}
			defer c.conn.Close()
			fmt.Fprintf(c.conn, "POST /hold/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: late\r\nKey: %s\r\nDeadline-Ms: 100\r\n%s\r\n\r\n%s",
				goodKey, framing.header, framing.half)
			// The rest never comes: an answer that waits for it fails by this bound.
			_ = c.conn.SetReadDeadline(time.Now().Add(patience))
			resp, err := http.ReadResponse(c.in, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if resp.StatusCode != http.StatusRequestTimeout || !resp.Close || err != nil {
				t.Errorf("answered %d %s, connection to close %v (%v)", resp.StatusCode, body, resp.Close, err)
			}
			if _, err := bufio.NewReader(c.in).ReadByte(); err != io.EOF {
				t.Errorf("the connection ended with %v, want its plain end", err)
			}
		})
	}
	if n := len(w.ran(w.desks)); n != 0 {
		t.Errorf("%d runs", n)
	}
}

// odd stands before a target and answers requests of clients with a status that
// no final answer has, bearing the request's id and a seal.
func odd(t *testing.T, d *runner.Runner, status string, runs *atomic.Int64) *httptest.Server {
	t.Helper()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: d.Address()})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/hold/") && !strings.HasPrefix(r.URL.Path, "/stock/") {
			proxy.ServeHTTP(w, r)
			return
		}
		runs.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n", status, r.Header.Get("Request-Id"), d.ID)
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return server
}

// A target answers with a status below 200 that is final. The client's connection
// ended without a word. It must read that the outcome isn't known, after one run.
func TestAnswerWithNoFinalStatusIsNone(t *testing.T) {
	for _, status := range []string{"007", "101"} {
		t.Run(status, func(t *testing.T) {
			w := newWorld(t)
			var runs atomic.Int64
			e := w.desks[0].EntryAt("ready", odd(t, w.desks[0], status, &runs).Listener.Addr().String())
			leaving := w.desks[1].Entry("draining")
			w.store.Set(e.Key, e.Value)
			w.store.Set(leaving.Key, leaving.Value)
			w.until("a hold meets the odd target", func() bool {
				a := w.send("POST", "/hold/x", "box", nil)
				met := runs.Load()
				if a.err != nil || met > 1 || (met == 1 && a.status != http.StatusBadGateway) {
					t.Errorf("%d runs, answered %d (%v), want one and 502", met, a.status, a.err)
				}
				return met > 0
			})
		})
	}
}
