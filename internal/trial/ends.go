package trial

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"acaciakeel/internal/standin/client"
	"acaciakeel/policy"
	"acaciakeel/refusal"
)

// Ends is a trial of a request that ends whoever runs it, beside others.
type Ends struct {
	Entries, Runners int
	// Rate is how many other requests come a second, each repeated once if it fails.
	Rate float64
	// Every is the pause between two repeats of the request, and Copies at how many
	// entries it comes at the same moment.
	Every  time.Duration
	Copies int
	For    time.Duration
	Seeds  int
}

// Figures of the trial's runners: a whole answer takes six times pace, and one that
// ends is gone for down, both of the order of a small model's.
const (
	pace     = 40 * time.Millisecond
	endAfter = 60 * time.Millisecond
	down     = 2 * time.Second
	deadly   = "divide by this"
)

// count is what became of requests in one play.
type count struct {
	mu sync.Mutex
	// ended is how many runners ended; of the others' requests, sent is how many
	// came, broken how many had no whole answer at first, unserved how many of their
	// repeats had none either, and refused how many were refused for their content.
	ended, sent, broken, unserved, refused int
}

// Run plays the trial with and without the mechanisms and writes a table.
func (e Ends) Run(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "without\tseed\trunners ended\tothers sent\tbroken\tunserved\trefused wrongly\t")
	for _, without := range []policy.Disabled{{policy.PoisonDetection: true}, {policy.SuspectIsolation: true}, nil} {
		for seed := range e.Seeds {
			c, err := e.play(uint64(seed+1), without)
			if err != nil {
				return err
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", names(without), seed+1, c.ended, c.sent, c.broken, c.unserved, c.refused)
		}
	}
	return w.Flush()
}

func names(off policy.Disabled) string {
	for m := range off {
		return string(m)
	}
	return "nothing"
}

func (e Ends) play(seed uint64, without policy.Disabled) (*count, error) {
	s, err := newSite(e.Entries, e.Runners, pace, without)
	if err != nil {
		return nil, err
	}
	defer s.close()
	for _, r := range s.runners {
		r.CrashOn(deadly, endAfter, down)
	}
	c := &count{}
	var wg sync.WaitGroup
	wg.Go(func() { e.others(s, c, seed) })
	wg.Go(func() { e.repeat(s, seed) })
	wg.Wait()
	for _, r := range s.runners {
		c.ended += r.Crashes()
	}
	return c, nil
}

// others sends other requests at random moments and at random entries.
func (e Ends) others(s *site, c *count, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, end := 0, time.Now().Add(e.For); time.Now().Before(end); i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / e.Rate * float64(time.Second)))
		first, again := random.IntN(e.Entries), random.IntN(e.Entries)
		wg.Go(func() { c.other(s, fmt.Sprintf("o%d", i), first, again) })
	}
}

func (c *count) other(s *site, name string, first, again int) {
	a := s.send(first, name, name)
	served := a.served
	if !served {
		time.Sleep(pace)
		b := s.send(again, name+"-again", name)
		served, a.refused = b.served, a.refused || b.refused
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if !a.served {
		c.broken++
	}
	if !served {
		c.unserved++
	}
	if a.refused {
		c.refused++
	}
}

// repeat sends the request that ends runners again and again.
func (e Ends) repeat(s *site, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, end := 0, time.Now().Add(e.For); time.Now().Before(end); i++ {
		time.Sleep(e.Every)
		for copies, at := range random.Perm(e.Entries)[:min(e.Copies, e.Entries)] {
			wg.Go(func() { s.send(at, fmt.Sprintf("d%d-%d", i, copies), deadly) })
		}
	}
}

// answer is what a caller saw.
type answer struct {
	served, refused bool
}

// sendWithin bounds one request.
const sendWithin = 6 * time.Second

func (s *site) send(entry int, id, body string) answer {
	req, err := client.Request{
		Method: http.MethodPost, Host: host, Path: "/match/x", ID: id, Key: key, Body: body, Deadline: sendWithin,
		Prompt: &client.Prompt{Model: model, Input: 900, Output: 50, Parts: "aa:400,bb:300,c" + id + ":200"},
	}.To(s.nodes[entry].FrontAddress())
	if err != nil {
		return answer{}
	}
	resp, err := (&http.Client{Timeout: sendWithin}).Do(req)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	refused := strings.Contains(string(text), string(refusal.CrashesTargets)) || strings.Contains(string(text), string(refusal.SuspectInProgress))
	return answer{served: resp.StatusCode == http.StatusOK && err == nil, refused: refused}
}
