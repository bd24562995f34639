package bed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Desk is a stand-in of a runner of a plain service, as the protocol's page describes it: it
// processes Slots requests at once, queues a few more, and refuses the rest with 503 and
// Not-Executed. It echoes Request-Id in all its responses.
type Desk struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Queue   int
	Work    time.Duration
	// Late, if set, is asked for each complete answer whether a second copy of it is to follow
	// late: at the point of the connection where the next response is expected.
	Late func() bool

	bed      *Bed
	listener net.Listener
	slots    chan struct{}

	mu      sync.Mutex
	waiting int
	running int
	// Runs counts how often each request began to run here, Refused how often one was refused
	// unrun, Copies how many second copies were sent.
	Runs    map[string]int
	Refused map[string]int
	Copies  int
}

// StartDesk starts a runner and lists it in the store.
func (b *Bed) StartDesk(d *Desk, ip string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	d.bed, d.listener, d.slots = b, l, make(chan struct{}, d.Slots)
	d.Runs, d.Refused = map[string]int{}, map[string]int{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	b.Set("servers/"+d.ID, map[string]any{
		"service": d.Service, "address": l.Addr().String(), "zone": d.Zone, "version": "v1", "slots": d.Slots, "state": "ready", "cold_remaining_ms": 0, "seq_no": 0,
	})
	return nil
}

// pendingRequest is a request that was read, or the end of the connection.
type pendingRequest struct {
	req  *http.Request
	body []byte
	err  error
}

// serve serves one connection: one request at a time. It reads ahead so that it notices the
// client's close, at which it drops a request that has not begun.
func (d *Desk) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	next := make(chan pendingRequest)
	closed := make(chan struct{})
	defer close(closed)
	go func() {
		for {
			req, err := http.ReadRequest(in)
			p := pendingRequest{req: req, err: err}
			if err == nil {
				p.body, p.err = io.ReadAll(req.Body)
			}
			select {
			case next <- p:
			case <-closed:
				return
			}
			if p.err != nil {
				return
			}
		}
	}()
	late := ""
	for {
		p := <-next
		if p.err != nil {
			return
		}
		if late != "" {
			d.mu.Lock()
			d.Copies++
			d.mu.Unlock()
			d.bed.Note("%s sends a second copy of %s where the response to %s is expected", d.ID, strings.Fields(late)[1], p.req.Header.Get("Request-Id"))
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
			late = ""
		}
		answer := d.answer(p)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if d.Late != nil && p.req.Header.Get("Request-Id") != "" && d.Late() {
			late = answer
		}
	}
}

func (d *Desk) load() string {
	return fmt.Sprintf("%d,%d,%d", d.running, d.waiting, d.Slots)
}

// answer runs or refuses a request and returns the response.
func (d *Desk) answer(p pendingRequest) string {
	h := p.req.Header
	id := h.Get("Request-Id")
	if meant := h.Get("Expect-Instance"); meant != "" && meant != d.ID {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", d.ID)
	}
	if id == "" {
		return "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	d.mu.Lock()
	if d.running+d.waiting >= d.Slots+d.Queue {
		d.Refused[id]++
		load := d.load()
		d.mu.Unlock()
		d.bed.Note("%s is full and refuses %s unrun", d.ID, id)
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", id, load)
	}
	d.waiting++
	d.mu.Unlock()
	d.slots <- struct{}{}
	d.mu.Lock()
	d.waiting--
	d.running++
	d.Runs[id]++
	d.mu.Unlock()
	d.bed.Note("%s runs %s", d.ID, id)
	time.Sleep(d.Work)
	d.mu.Lock()
	d.running--
	load := d.load()
	d.mu.Unlock()
	<-d.slots
	body := "answer of " + d.ID + " to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s-%s\r\nServer-Load: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", id, d.ID, id, load, len(body), body)
}

// Totals returns how often each request began to run at any of the runners.
func Totals(desks []*Desk) map[string]int {
	out := map[string]int{}
	for _, d := range desks {
		d.mu.Lock()
		for id, n := range d.Runs {
			out[id] += n
		}
		d.mu.Unlock()
	}
	return out
}
