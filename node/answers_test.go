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

// Guards against a 400, or an answer held back until the rest arrives, when a request body
// outlasts its deadline: the client must get 408 at once and the connection must be closed.
func TestLateBodyIsReportedNotRun(t *testing.T) {
	w := newEnv(t)
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
			// The rest of the body never arrives: an answer that waits for it runs into this
			// deadline.
			_ = c.conn.SetReadDeadline(time.Now().Add(waitTimeout))
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
				t.Errorf("the connection ended with %v, want EOF", err)
			}
		})
	}
	if n := len(w.executed(w.plainTargets)); n != 0 {
		t.Errorf("%d runs", n)
	}
}

// invalidStatusProxy is a proxy for a target that answers clients' requests with a status that
// no final answer of a run has, with the request's id and a seal.
func invalidStatusProxy(t *testing.T, d *runner.Runner, status string, runs *atomic.Int64) *httptest.Server {
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

// Guards against a connection closed without an answer when a target's final status is below
// 200, and against a status that promises that nothing ran when the target doesn't state that:
// the client must get 502 after one run.
func TestInvalidFinalStatusIsUnknownOutcome(t *testing.T) {
	for _, status := range []string{"007", "101", "408", "429", "503"} {
		t.Run(status, func(t *testing.T) {
			w := newEnv(t)
			var runs atomic.Int64
			e := w.plainTargets[0].EntryAt("ready", invalidStatusProxy(t, w.plainTargets[0], status, &runs).Listener.Addr().String())
			leaving := w.plainTargets[1].Entry("draining")
			w.store.Set(e.Key, e.Value)
			w.store.Set(leaving.Key, leaving.Value)
			w.until("a hold reaches the target with the invalid status", func() bool {
				a := w.send("POST", "/hold/x", "box", nil)
				sent := runs.Load()
				if a.err != nil || sent > 1 || (sent == 1 && a.status != http.StatusBadGateway) {
					t.Errorf("%d runs, answered %d (%v), want one and 502", sent, a.status, a.err)
				}
				return sent > 0
			})
		})
	}
}

// Guards against a success that no target gave: the HTTP library answers OPTIONS * by itself.
func TestGeneralOptionsAreNotAnsweredAsSuccess(t *testing.T) {
	w := newEnv(t)
	c, err := dial(w.node)
	if err != nil {
		t.Fatal(err)
	}
	defer c.conn.Close()
	fmt.Fprintf(c.conn, "OPTIONS * HTTP/1.1\r\nHost: h.example\r\nRequest-Id: general\r\nKey: %s\r\n\r\n", goodKey)
	_ = c.conn.SetReadDeadline(time.Now().Add(waitTimeout))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("answered %d, want 404", resp.StatusCode)
	}
}
