package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"acaciakeel/configsync"
	"acaciakeel/httpbody"
	"acaciakeel/resource"
)

// Guards against an entry whose memory fills with the bodies of requests that wait for their targets.
func TestBodiesOfWaitingRequestsAreBounded(t *testing.T) {
	const key, bodyBytes, total, senders = "key", 1 << 20, 8 << 20, 20
	spec, err := json.Marshal(resource.Customer{KeyHashes: []string{HashKey(key)}})
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := resource.Build(1, []resource.Resource{{Kind: "customer", Name: "c", Spec: spec}})
	if err != nil {
		t.Fatal(err)
	}
	e := newTestEntry(t, nil)
	e.bodies = httpbody.NewBudget(total)
	e.table.Store(newRoutingTable(&configsync.State{Snapshot: snapshot}))
	close(e.configured)
	waiting := make(chan struct{})
	var held atomic.Int64
	endpoint := func(_ context.Context, request any) (any, error) {
		held.Add(int64(len(request.(*serviceCall).body)))
		<-waiting
		return nil, nil
	}
	server := httptest.NewServer(e.customerHandler("call", endpoint, decodeCall, func(context.Context, http.ResponseWriter, any) error { return nil }))
	defer server.Close()
	end := sync.OnceFunc(func() { close(waiting) })
	defer end()
	send := func(body string) (int, http.Header, string) {
		req, err := http.NewRequest(http.MethodPost, server.URL+"/services/s/x", strings.NewReader(body))
		if err != nil {
			t.Error(err)
			return 0, nil, ""
		}
		req.Header.Set("Authorization", bearerPrefix+key)
		resp, err := server.Client().Do(req)
		if err != nil {
			t.Error(err)
			return 0, nil, ""
		}
		defer resp.Body.Close()
		data, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, resp.Header, string(data)
	}
	answers := make(chan int, senders+1)
	for range senders {
		go func() {
			status, header, body := send(strings.Repeat("x", bodyBytes))
			if status != http.StatusOK && (!strings.Contains(body, "memory_full") || !strings.Contains(body, `"not_run"`) || header.Get("Retry-After") == "") {
				t.Errorf("refused with %d %v %s", status, header, body)
			}
			answers <- status
		}()
	}
	refused := 0
	for refused < senders-total/bodyBytes {
		select {
		case status := <-answers:
			if status != http.StatusServiceUnavailable {
				t.Fatalf("answered %d while the targets are busy", status)
			}
			refused++
		case <-time.After(10 * time.Second):
			t.Fatalf("%d requests refused for their bodies, %d bytes held, %d allowed", refused, held.Load(), total)
		}
	}
	// A small request is held beside those that fill the memory.
	before := held.Load()
	go func() {
		status, _, _ := send("small")
		answers <- status
	}()
	for limit := time.Now().Add(10 * time.Second); held.Load() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("a small request is not served beside large ones")
		}
	}
	if n := e.bodies.Held(); n > total {
		t.Errorf("%d bytes are held, %d allowed", n, total)
	}
	end()
	for range senders + 1 - refused {
		<-answers
	}
	for limit := time.Now().Add(10 * time.Second); e.bodies.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d bytes are held after the last request", e.bodies.Held())
		}
	}
}
