package router

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"acaciakeel/retry"
	"acaciakeel/telemetry"
)

// Metrics are the router's counters.
type Metrics struct {
	refusals  *prometheus.CounterVec
	retries   *prometheus.CounterVec
	exhausted prometheus.Counter
	latency   *prometheus.HistogramVec
}

// NewMetrics registers the router's counters.
func NewMetrics(r *prometheus.Registry) *Metrics {
	exhausted := telemetry.NewCounter(r, "keel_router_retries_exhausted_total", "Retries that the budget did not allow.")
	return &Metrics{
		refusals:  telemetry.NewCounter(r, "keel_router_refusals_total", "Requests refused or failed, by kind.", "kind"),
		retries:   telemetry.NewCounter(r, "keel_router_retries_total", "Further sends, by reason.", "reason"),
		exhausted: exhausted.WithLabelValues(),
		latency:   telemetry.NewLatency(r, "keel_router_request_seconds", "Time from a request's arrival to its end, by route.", "route"),
	}
}

// RetryBounds are the deployment's bounds on further sends, over all processes.
type RetryBounds struct {
	// Ratio is the share of a service's requests that may be sent again.
	Ratio float64
	// Extra is how many more in Window.
	Extra  float64
	Window time.Duration
}

// Shares of the bounds that are used: the bounds hold for sliding windows over
// all processes, which know nothing of each other's use.
const (
	ratioShare = 0.8
	// extraShare is the part of the extra that comes with time, savedShare the
	// part that a quiet time saves up.
	extraShare = 0.25
	savedShare = 0.25
)

// budgets holds the retry budget of each service at this process.
type budgets struct {
	mu     sync.Mutex
	bounds RetryBounds
	of     map[string]*retry.Budget
}

func newBudgets(b RetryBounds) *budgets {
	return &budgets{bounds: b, of: map[string]*retry.Budget{}}
}

func (b *budgets) budget(service string, now time.Time) *retry.Budget {
	have := b.of[service]
	if have == nil {
		have = retry.NewBudget(b.bounds.Ratio*ratioShare, 0, now)
		b.of[service] = have
	}
	return have
}

// request counts a request for a service in.
func (b *budgets) request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service, now).Request(now)
}

// take takes one further send out of the part of the bounds that is this
// process's, one of sharers.
func (b *budgets) take(service string, sharers int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	have := b.budget(service, now)
	part := b.bounds.Extra / float64(sharers)
	have.SetExtra(part*extraShare/b.bounds.Window.Seconds(), max(1, part*savedShare), now)
	return have.Take(now)
}
