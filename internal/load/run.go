package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
)

// Outcome is one request with its result.
type Outcome struct {
	Request Request
	Result  Result
}

// requestLimit bounds one request of a run.
const requestLimit = 30 * time.Second

// Send sends requests at their times, open loop: a slow answer holds nobody
// back. It returns when all have ended.
func (f *Fleet) Send(ctx context.Context, began time.Time, requests []Request) []Outcome {
	clients := f.clients()
	outcomes := make([]Outcome, len(requests))
	var wg sync.WaitGroup
	for i, r := range requests {
		time.Sleep(time.Until(began.Add(r.At)))
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, requestLimit)
			defer cancel()
			outcomes[i] = Outcome{Request: r, Result: f.send(ctx, clients, r)}
		})
	}
	wg.Wait()
	return outcomes
}

// clients makes a client for each customer at each entry.
func (f *Fleet) clients() [][]*Client {
	clients := make([][]*Client, len(f.Keys))
	for i, key := range f.Keys {
		for _, entry := range f.Entries {
			clients[i] = append(clients[i], NewClient(entry, key))
		}
	}
	return clients
}

func (f *Fleet) send(ctx context.Context, clients [][]*Client, r Request) Result {
	client := clients[r.Customer][r.Entry]
	if r.Chat == nil {
		return client.Call(ctx, f.Service, "/holds", r.Hold, uuid.Must(uuid.NewV7()).String())
	}
	return client.Chat(ctx, *r.Chat, "")
}

// Summary is what a run came to.
type Summary struct {
	Requests int
	Refused  int
	Errors   int
	Whole    int
	// FirstToken is the time to the first token, in microseconds.
	FirstToken *hdrhistogram.Histogram
	// Refusal is the time to a refusal, in microseconds.
	Refusal *hdrhistogram.Histogram
	// Useful is the share of each customer's requests that were answered.
	Useful []float64
	// Offered and Answered count each customer's requests.
	Offered  []int
	Answered []int
}

// Bounds of the histograms, in microseconds, and their precision in digits.
const (
	lowestMicros  = 10
	highestMicros = 60_000_000
	digits        = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// Summarize sums up outcomes, leaving out those for which keep is false.
func Summarize(outcomes []Outcome, customers int, keep func(Outcome) bool) Summary {
	s := Summary{
		FirstToken: newHistogram(),
		Refusal:    newHistogram(),
		Useful:     make([]float64, customers),
		Offered:    make([]int, customers),
		Answered:   make([]int, customers),
	}
	for _, o := range outcomes {
		if keep(o) {
			s.add(o)
		}
	}
	for i := range s.Useful {
		s.Useful[i] = float64(s.Answered[i]) / float64(max(1, s.Offered[i]))
	}
	return s
}

func (s *Summary) add(o Outcome) {
	s.Requests++
	s.Offered[o.Request.Customer]++
	r := o.Result
	switch {
	case r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable:
		s.Refused++
		_ = s.Refusal.RecordValue(r.Total.Microseconds())
		return
	case !r.Whole:
		s.Errors++
		return
	}
	s.Whole++
	s.Answered[o.Request.Customer]++
	if o.Request.Chat != nil {
		_ = s.FirstToken.RecordValue(r.FirstToken.Microseconds())
	}
}

// Jain returns Jain's fairness index of values: 1 where all are equal.
func Jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(values)) * squares)
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}
