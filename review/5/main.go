// Command 5 has a runner crash in the middle of streams on a resumable route without a model, and
// checks that what the clients get is one run, or goes on at Last-Event-Id.
package main

import (
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"time"

	"acaciakeel/review/stage"
)

const (
	clients = 12
	events  = 40
	// crashAfter is when the runner crashes, after the clients began.
	crashAfter = 600 * time.Millisecond
)

var piece = regexp.MustCompile(`(?m)^data: (\S+) piece (\d+) of the run at (\S+) that began after (\d+)$`)

func main() {
	record := stage.NewRecord("review/5")
	site := stage.NewSite(record, 134)
	zones := []string{"barracas", "avellaneda", "pompeya"}
	runners := map[string]*stage.Runner{}
	var first *stage.Runner
	for i := range 3 {
		r := site.StartRunner(&stage.Runner{ID: fmt.Sprintf("i-%08x", 0x62000000+i), Service: "kafi81c", Zone: zones[i], Slots: 6, Streams: true, NoModel: true, FirstAfter: 15 * time.Millisecond, Pause: 30 * time.Millisecond, Events: events})
		runners[r.ID] = r
		if first == nil {
			first = r
		}
	}
	site.Configure([]stage.Route{{Name: "news", Kind: "streaming", Service: "kafi81c", TimeoutMS: 15000, AimMS: 300, Attempts: 2, Resumable: true, Plain: true}},
		map[string]any{"name": "kafi81c", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false})
	e := site.NewEntry(0)
	e.AwaitReady(10 * time.Second)
	time.Sleep(time.Second)
	c := stage.NewClient(e)
	answers := make([]stage.Answer, clients)
	var done sync.WaitGroup
	for i := range clients {
		done.Go(func() {
			answers[i] = c.Send(&stage.Request{ID: requestID(i), Method: "POST", Path: "/news/2f", Body: fmt.Appendf(nil, "what is new for %d", i), Deadline: 15 * time.Second})
		})
	}
	if stage.Trouble() {
		time.Sleep(crashAfter)
		record.Say("the runner %s crashes", first.ID)
		first.Crash()
		time.Sleep(3 * 1200 * time.Millisecond)
		site.Store.Remove("servers/" + first.ID)
	}
	done.Wait()
	broken := 0
	for i, a := range answers {
		if !judge(record, requestID(i), a, runners) {
			broken++
		}
	}
	record.Say("ORDER: %d of %d streams break the rule", broken, clients)
	if broken > 0 {
		stage.Exit(stage.Broken)
	}
	stage.Exit(stage.Held)
}

func requestID(i int) string { return fmt.Sprintf("9c41d07b%08x", i) }

// judge reports whether what a client got keeps the rule ORDER.
func judge(record *stage.Record, id string, a stage.Answer, runners map[string]*stage.Runner) bool {
	for _, r := range runners {
		if arrived, ok := r.Arrivals()[id]; ok {
			record.Add("%s arrived at %s with Last-Event-Id %q; %d events were sent", id, r.ID, arrived.Resumed, arrived.Sent)
		}
	}
	record.Add("%s got status %d, error %v:\n%s", id, a.Status, a.Err, a.Body)
	at, run := 0, ""
	for _, m := range piece.FindAllStringSubmatch(a.Body, -1) {
		n, _ := strconv.Atoi(m[2])
		began, _ := strconv.Atoi(m[4])
		switch {
		case m[1] != id:
			record.Say("%s got a piece of %s", id, m[1])
			return false
		case n != at+1:
			record.Say("%s got piece %d after piece %d", id, n, at)
			return false
		case run != "" && m[3] != run && began != at:
			record.Say("%s got pieces 1 to %d of the run at %s and goes on with piece %d of a run at %s that began after piece %d, not at Last-Event-Id %d", id, at, run, n, m[3], began, at)
			return false
		}
		at, run = n, m[3]
	}
	if a.Status == 200 && a.Err == nil && at != events {
		record.Say("%s ends as complete after piece %d of %d", id, at, events)
		return false
	}
	return true
}
