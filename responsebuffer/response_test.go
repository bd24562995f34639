package responsebuffer

import (
	"bytes"
	"context"
	"errors"
	"os"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// testClient is a client that takes bytes only while it is given credit.
type testClient struct {
	mu      sync.Mutex
	changed *sync.Cond
	// credit is how many more sends the client takes; it is writable while there is one.
	credit   int
	cut      bool
	got      []byte
	sends    int
	blocking int
}

func newTestClient(credit int) *testClient {
	c := &testClient{credit: credit}
	c.changed = sync.NewCond(&c.mu)
	return c
}

func (c *testClient) Writable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.credit > 0
}

func (c *testClient) Send(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends++
	for c.credit == 0 && !c.cut {
		c.blocking++
		c.changed.Broadcast()
		c.changed.Wait()
		c.blocking--
	}
	if c.cut {
		return os.ErrDeadlineExceeded
	}
	c.credit--
	c.got = append(c.got, p...)
	return nil
}

func (c *testClient) Cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
	c.changed.Broadcast()
}

func (c *testClient) give(credit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.credit += credit
	c.changed.Broadcast()
}

// awaitBlocked waits until a send is blocked.
func (c *testClient) awaitBlocked() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.blocking == 0 {
		c.changed.Wait()
	}
}

func (c *testClient) received() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Clone(c.got)
}

const enough = 1 << 20

func newResponse(ctx context.Context, p *Pool, c *testClient) *Response {
	r := &Response{}
	r.Init(ctx, "id", p, c)
	return r
}

// Bytes out of order or missing in the middle of a response look like a valid response to its
// client. For any interleaving of writes and reads of two responses, a client receives a
// prefix of its response, all of it if Finish returns nil, and an aborted response is never
// reported as finished.
func TestResponseKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		aborted := make(chan Reason, 2)
		pool := NewPool(Limits{Response: rapid.Int64Range(1, 64<<10).Draw(t, "response limit"), Total: rapid.Int64Range(1, 96<<10).Draw(t, "total limit")},
			func(_ string, reason Reason, _ int64) { aborted <- reason })
		clients := []*testClient{newTestClient(0), newTestClient(0)}
		responses := []*Response{newResponse(t.Context(), pool, clients[0]), newResponse(t.Context(), pool, clients[1])}
		written := make([][]byte, 2)
		failed := make([]bool, 2)
		next := byte(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "response")
			if rapid.Bool().Draw(t, "read") {
				clients[i].give(rapid.IntRange(1, 4).Draw(t, "credit"))
				continue
			}
			p := make([]byte, rapid.SampledFrom([]int{1, 80, 700, 3000, DirectBytes + 1, 20 << 10}).Draw(t, "size"))
			for j := range p {
				next++
				p[j] = next
			}
			if failed[i] {
				continue
			}
			written[i] = append(written[i], p...)
			failed[i] = responses[i].Write(p) != nil
			if u := pool.Usage(); u.Bytes > pool.ledger.limits.Total || u.Largest > pool.ledger.limits.Response {
				t.Fatalf("held %+v, limits %+v", u, pool.ledger.limits)
			}
		}
		ended := 0
		for i, r := range responses {
			clients[i].give(enough)
			err := r.Finish()
			r.Close()
			got := clients[i].received()
			if !bytes.HasPrefix(written[i], got) {
				t.Fatalf("response %d: received %d bytes that are no prefix of the %d written", i, len(got), len(written[i]))
			}
			if err == nil && (failed[i] || len(got) != len(written[i])) {
				t.Fatalf("response %d finished with %d of %d bytes, failed %v", i, len(got), len(written[i]), failed[i])
			}
			var abort *AbortError
			if err != nil && !errors.As(err, &abort) {
				t.Fatalf("response %d: %v", i, err)
			}
			if err != nil {
				ended++
			}
		}
		if len(aborted) != ended {
			t.Fatalf("%d responses were reported as aborted, %d ended so", len(aborted), ended)
		}
		if u := pool.Usage(); u != (Usage{}) {
			t.Fatalf("held after the end: %+v", u)
		}
	})
}

// A client that keeps up must cost no goroutine and no copy: VMs have a tenth of a core.
func TestWriteGoesDirectlyToWritableClient(t *testing.T) {
	client := newTestClient(enough)
	pool := NewPool(Limits{Response: enough, Total: enough}, nil)
	r := newResponse(t.Context(), pool, client)
	event := make([]byte, 120)
	client.got = make([]byte, 0, enough)
	if n := testing.AllocsPerRun(100, func() { _ = r.Write(event) }); n != 0 {
		t.Errorf("%v allocations per event", n)
	}
	if r.drained != nil || pool.Usage().Responses != 0 {
		t.Errorf("a goroutine was started, or bytes were held: %+v", pool.Usage())
	}
}

// A client that does not read must delay neither the reading from its target nor any other
// client; once it has read on, events are written directly again.
func TestSlowClientDelaysNobody(t *testing.T) {
	pool := NewPool(Limits{Response: enough, Total: enough}, nil)
	slow, fast := newTestClient(0), newTestClient(enough)
	first, second := newResponse(t.Context(), pool, slow), newResponse(t.Context(), pool, fast)
	for range 1000 {
		if err := errors.Join(first.Write([]byte("slow")), second.Write([]byte("fast"))); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(fast.received()); n != 4000 {
		t.Errorf("the fast client has received %d bytes of 4000", n)
	}
	slow.awaitBlocked()
	if n := len(slow.received()); n != 0 {
		t.Errorf("the slow client has received %d bytes", n)
	}
	slow.give(enough)
	if err := errors.Join(first.Finish(), second.Finish()); err != nil {
		t.Fatal(err)
	}
	sends := slow.sends
	if err := first.Write([]byte("slow")); err != nil || slow.sends != sends+1 || len(slow.received()) != 4004 {
		t.Errorf("the write after the backlog: %v, %d sends, %d bytes", err, slow.sends-sends, len(slow.received()))
	}
	first.Close()
	second.Close()
}

// The buffer of a client that has disconnected would be held until the connection times out.
// A shutdown, which cancels the context with its own cause, must not be taken for that.
func TestDisconnectFreesBuffer(t *testing.T) {
	for name, test := range map[string]struct {
		cause error
		freed bool
	}{"client left": {nil, true}, "shutdown": {errors.New("the process ends"), false}} {
		reasons := make(chan Reason, 1)
		pool := NewPool(Limits{Response: enough, Total: enough}, func(_ string, reason Reason, _ int64) { reasons <- reason })
		ctx, cancel := context.WithCancelCause(t.Context())
		client := newTestClient(0)
		r := newResponse(ctx, pool, client)
		if err := r.Write(make([]byte, 2*DirectBytes)); err != nil {
			t.Fatal(err)
		}
		client.awaitBlocked()
		cancel(test.cause)
		if test.freed {
			if reason := <-reasons; reason != ClientLeft {
				t.Errorf("%s: aborted for %q", name, reason)
			}
		} else {
			client.give(enough)
		}
		if err := r.Finish(); (err != nil) != test.freed {
			t.Errorf("%s: Finish returned %v", name, err)
		}
		if u := pool.Usage(); u.Bytes != 0 {
			t.Errorf("%s: still held: %+v", name, u)
		}
		r.Close()
	}
}

// A request whose handling panics must not leave the goroutine and the bytes behind.
func TestCloseEndsBlockedWrite(t *testing.T) {
	pool := NewPool(Limits{Response: enough, Total: enough}, nil)
	client := newTestClient(0)
	r := newResponse(t.Context(), pool, client)
	if err := r.Write(make([]byte, 2*DirectBytes)); err != nil {
		t.Fatal(err)
	}
	client.awaitBlocked()
	r.Close()
	if u := pool.Usage(); u.Bytes != 0 || len(client.received()) != 0 {
		t.Errorf("after Close: held %+v, received %d", u, len(client.received()))
	}
}
