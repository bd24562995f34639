package rollout

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/telemetry"
)

// Metrics are the gauges of a rollout, as the process that gives the orders sees it.
type Metrics struct {
	waiting *prometheus.GaugeVec
}

// NewMetrics registers the gauges.
func NewMetrics(r *prometheus.Registry) *Metrics {
	return &Metrics{waiting: telemetry.NewGauge(r, "keel_node_orders_waiting", "Runners on older weights that got no order at the last look, by reason.", "reason")}
}

// saidFrom is for how long a runner must be behind before the log says why: a
// rollout of idle runners ends sooner.
const saidFrom = 3 * time.Second

// waiting tells why runners that are behind get no order: in the gauges after each
// look, and in the log once a change of a runner's reason. Only the goroutine that
// looks uses it.
type waiting struct {
	metrics *Metrics
	log     logrus.FieldLogger
	counts  map[Reason]int
	// said are the reasons that the log has, and now those of the look under way.
	said, now map[waiter]Reason
}

// waiter is a life of a runner that is behind in a model's weights.
type waiter struct {
	life  fleet.Instance
	model string
}

func newWaiting(m *Metrics, log logrus.FieldLogger) waiting {
	return waiting{metrics: m, log: log, said: map[waiter]Reason{}}
}

// begin begins a look.
func (w *waiting) begin() {
	w.counts, w.now = map[Reason]int{}, map[waiter]Reason{}
}

// note takes what becomes of the runners of a model.
func (w *waiting) note(in Input, turns []Turn) {
	for _, t := range turns {
		w.counts[t.Wait]++
		behind := in.Behind[t.Runner.ID]
		if behind < saidFrom {
			continue
		}
		key := waiter{t.Runner.Instance(), in.Model}
		w.now[key] = t.Wait
		if t.Wait == None || w.said[key] == t.Wait {
			continue
		}
		w.log.WithFields(logrus.Fields{
			"event": "order_waits", "runner": t.Runner.ID, "born": t.Runner.Born, "model": in.Model, "reason": t.Wait,
			"weights": t.Runner.Weights[in.Model], "newest": in.Desired, "behind_ms": behind.Milliseconds(),
			"inflight": in.Inflight[t.Runner.ID], "long": in.Long[t.Runner.ID],
			"underway_ms": in.Underway[t.Runner.ID].Milliseconds(), "underway": len(in.Underway), "at_once": in.AtOnce,
		}).Info("a runner on older weights gets no order yet")
	}
}

// end ends a look.
func (w *waiting) end() {
	w.said = w.now
	w.show()
}

// none notes that this process gives no orders.
func (w *waiting) none() {
	if len(w.counts) == 0 {
		return
	}
	w.counts, w.said = nil, map[waiter]Reason{}
	w.show()
}

func (w *waiting) show() {
	if w.metrics == nil {
		return
	}
	for _, reason := range Reasons {
		w.metrics.waiting.WithLabelValues(string(reason)).Set(float64(w.counts[reason]))
	}
}
