package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

// startUnread starts a target that passes requests on to r, but holds those for a path unread.
func startUnread(t *testing.T, r *runner.Runner, path string) *httptest.Server {
	t.Helper()
	open := make(chan struct{})
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: r.Address()})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, path) {
			<-open
			return
		}
		w.Header().Set("Via", "unread")
		proxy.ServeHTTP(w, req)
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		close(open)
		server.Close()
	})
	return server
}

// Guards against an entry whose memory fills with the bodies of requests whose targets don't read.
func TestUnreadBodiesAreBounded(t *testing.T) {
	const bodyBytes, senders = 4 << 20, 24
	w := newEnvWith(t, newFailureLog(t), func(w *testEnv) { w.maxBodyBytes = bodyBytes })
	unread := startUnread(t, w.runners[0], "/match/")
	moved, leaving := w.runners[0].EntryAt("ready", unread.Listener.Addr().String()), w.runners[1].Entry("draining")
	w.store.Set(moved.Key, moved.Value)
	w.store.Set(leaving.Key, leaving.Value)
	w.until("requests reach the target by its new address", func() bool {
		return w.send("POST", "/draft/x", "box", promptHeaders()).header.Get("Via") != ""
	})
	limit := float64(memoryBytes(w.node.settings.Limits.MemoryMB) / requestMemoryShare)
	large := strings.Repeat("x", bodyBytes)
	var all sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for i := range senders {
		all.Go(func() {
			header := promptHeaders()
			header["Deadline-Ms"] = "4000"
			a := w.sendTo(w.node, "POST", "/match/x", large, fmt.Sprint("large-", i), header)
			if a.status == http.StatusServiceUnavailable && strings.Contains(a.body, "memory_full") {
				mu.Lock()
				defer mu.Unlock()
				refused++
				if !strings.Contains(a.body, `"not_run"`) || a.header.Get("Retry-After") == "" {
					t.Errorf("refused with %v %s", a.header, a.body)
				}
			}
		})
	}
	w.until("the bodies fill the budget", func() bool { return w.gauge("keel_node_request_bytes_held") > limit/2 })
	for i := range 20 {
		if a := w.sendTo(w.node, "POST", "/draft/x", "box", fmt.Sprint("small-", i), promptHeaders()); a.status != http.StatusOK {
			t.Errorf("beside unread bodies a small request got %d %s (%v)", a.status, a.body, a.err)
		}
		if held := w.gauge("keel_node_request_bytes_held"); held > limit {
			t.Errorf("%.0f bytes of bodies are held, %.0f allowed", held, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	if want := senders - int(limit/bodyBytes); refused < want {
		t.Errorf("%d requests refused for their bodies, want at least %d", refused, want)
	}
	w.until("no body is held any more", func() bool { return w.gauge("keel_node_request_bytes_held") == 0 })
}
