// Command 1 shows that a late second answer of a runner that had refused another request makes
// the entry send a request that may run once to a second runner.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"acaciakeel/review/bed"
)

const (
	key     = "ctnfzs989anu6wsjnban"
	host    = "hulo84.example"
	service = "kafi81c"
	// clients have a kept connection each, a third of them to each entry. In each wave all of them
	// send at the same moment, more than the runners take at once; after a pause those of each
	// entry do so in turn, which the runners take easily. That makes 80 requests a second, as in a
	// burst of the users' small deployments (48 a second to this service, times 1.7).
	clients = 60
	pause   = 340 * time.Millisecond
	waves   = 40
	// Dose of the disruption: garble (extra late), share 0.6 of the service's runners, 0.03 of
	// their answers, for 5 s; it comes every lateEvery.
	garbled     = 2
	lateShare   = 0.03
	lateFor     = 5 * time.Second
	lateEvery   = 7 * time.Second
	deadlineMS  = 1000
	runnerCount = 3
)

func main() {
	b, err := bed.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(bed.Invalid)
	}
	b.Set("op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-consent", "host": host, "path_prefix": "/fiti832/ti23/", "kind": "non_idempotent", "timeout_ms": deadlineMS,
			"target_latency_ms": 100, "priority": 2, "service": service, "attempts": 1, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "sese880", "api_keys": []string{key}, "priority": 1, "isolated": false}},
	})
	var desks []*bed.Desk
	var garbling window
	for i := range runnerCount {
		d := &bed.Desk{ID: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), Service: service, Zone: bed.Zones[i], Slots: 6, Queue: 3, Work: 15 * time.Millisecond}
		if i < garbled && bed.Trouble() {
			d.Late = garbling.draw
		}
		if err := b.StartDesk(d, b.IP(100+i)); err != nil {
			b.Verdict(bed.Invalid, "%v", err)
		}
		desks = append(desks, d)
	}
	if err := b.StartEntries(3); err != nil {
		b.Verdict(bed.Invalid, "%v", err)
	}
	// Targets reach the entries within a watch.
	time.Sleep(2 * time.Second)
	results := send(b, &garbling)
	time.Sleep(time.Second)
	judge(b, desks, results)
}

// window is the time of the disruption.
type window struct {
	mu    sync.Mutex
	since time.Time
}

func (w *window) open() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = time.Now()
}

// draw reports whether an answer given now gets a second copy.
func (w *window) draw() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.since.IsZero() && time.Since(w.since)%lateEvery < lateFor && rand.Float64() < lateShare
}

// send has the clients send their waves and returns the status that each request got, 0 for a
// connection that ended without one.
func send(b *bed.Bed, garbling *window) map[string]int {
	results := map[string]int{}
	var mu sync.Mutex
	for wave := range waves {
		if wave == 2 {
			garbling.open()
			b.Note("the disruption begins if there is one; it comes again every %v", lateEvery)
		}
		var wg sync.WaitGroup
		one := func(client int) {
			wg.Go(func() {
				id := fmt.Sprintf("%02d%02d%012x", wave, client, rand.Uint64()>>16)
				b.Note("client %d sends %s to %s", client, id, b.Entries[client%len(b.Entries)].Name)
				status := request(b, client, id)
				b.Note("client %d got %d for %s", client, status, id)
				mu.Lock()
				results[id] = status
				mu.Unlock()
			})
		}
		for i := range clients {
			one(i)
		}
		wg.Wait()
		time.Sleep(pause)
		for entry := range b.Entries {
			for i := entry; i < clients; i += len(b.Entries) {
				one(i)
			}
			wg.Wait()
			time.Sleep(pause)
		}
	}
	return results
}

var transports [clients]http.Transport

func request(b *bed.Bed, client int, id string) int {
	entry := b.Entries[client%len(b.Entries)]
	req, err := http.NewRequest(http.MethodPost, "http://"+entry.Front()+"/fiti832/ti23/2f", strings.NewReader(strings.Repeat("x", 600)))
	if err != nil {
		return 0
	}
	req.GetBody = nil // no repeats by the library
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Key", key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadlineMS))
	c := http.Client{Transport: &transports[client], Timeout: 2 * time.Second}
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// promises are the statuses that promise that a request has not run and never will.
var promises = map[int]bool{408: true, 421: true, 429: true, 503: true}

func judge(b *bed.Bed, desks []*bed.Desk, results map[string]int) {
	runs := bed.Totals(desks)
	twice, refused, served, unran := 0, 0, 0, 0
	for id, n := range runs {
		if n > 1 {
			twice++
			b.Note("TWICE: %s ran %d times; its client got %d", id, n, results[id])
		}
		if n > 0 && promises[results[id]] {
			refused++
			b.Note("REFUSED: %s ran; its client got %d", id, results[id])
		}
	}
	for id, status := range results {
		if status == 200 {
			served++
		}
		if runs[id] == 0 {
			unran++
		}
	}
	copies, full := 0, 0
	for _, d := range desks {
		copies += d.Copies
		full += len(d.Refused)
	}
	text := fmt.Sprintf("%d requests, %d served, %d not run; runners refused %d unrun and sent %d second copies; TWICE %d, REFUSED %d", len(results), served, unran, full, copies, twice, refused)
	switch {
	case twice+refused > 0:
		b.Verdict(bed.Broken, "%s", text)
	case served < len(results)/2 || full == 0:
		b.Verdict(bed.Invalid, "%s", text)
	case bed.Trouble() && copies == 0:
		b.Verdict(bed.Invalid, "no second copy was sent: %s", text)
	}
	b.Verdict(bed.Held, "%s", text)
}
