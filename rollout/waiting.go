package rollout

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/telemetry"
)

// Metrics holds the rollout's metrics as seen by the leader.
type Metrics struct {
	waiting *prometheus.GaugeVec
	orders  *prometheus.CounterVec
}

func NewMetrics(r *prometheus.Registry) *Metrics {
	return &Metrics{
		orders:  telemetry.NewCounter(r, "keel_node_orders_total", "Load orders to runners, by result.", "result"),
		waiting: telemetry.NewGauge(r, "keel_node_orders_waiting", "Runners on older weights that got no order at the last look, by reason.", "reason"),
	}
}

func (m *Metrics) countOrder(result fleet.OrderResult) {
	if m != nil {
		m.orders.WithLabelValues(string(result)).Inc()
	}
}

// logAfter is how long a runner must be stale before the reason is logged; a rollout of
// idle runners completes sooner.
const logAfter = 3 * time.Second

// waitReporter reports why stale runners get no order: in the gauges after each
// reconciliation, and in the log whenever a runner's reason changes. It is used by the
// reconciling goroutine only.
type waitReporter struct {
	metrics *Metrics
	log     logrus.FieldLogger
	counts  map[WaitReason]int
	// logged holds the reasons that were logged, and current those of the
	// reconciliation in progress.
	logged, current map[staleRunner]WaitReason
}

// staleRunner identifies an instance of a runner with stale weights of a model.
type staleRunner struct {
	instance fleet.Instance
	model    string
}

func newWaitReporter(m *Metrics, log logrus.FieldLogger) waitReporter {
	return waitReporter{metrics: m, log: log, logged: map[staleRunner]WaitReason{}}
}

// beginPass starts the report of a reconciliation.
func (w *waitReporter) beginPass() {
	w.counts, w.current = map[WaitReason]int{}, map[staleRunner]WaitReason{}
}

// record adds the decisions for the runners of one model.
func (w *waitReporter) record(in Input, decisions []Decision) {
	for _, decision := range decisions {
		w.counts[decision.WaitReason]++
		staleFor := in.StaleFor[decision.Runner.ID]
		if staleFor < logAfter {
			continue
		}
		key := staleRunner{decision.Runner.Instance(), in.Model}
		w.current[key] = decision.WaitReason
		if decision.WaitReason == None || w.logged[key] == decision.WaitReason {
			continue
		}
		w.log.WithFields(logrus.Fields{
			"event": "order_waits", "runner": decision.Runner.ID, "born": decision.Runner.Born, "model": in.Model, "reason": decision.WaitReason,
			"weights": decision.Runner.Weights[in.Model], "newest": in.Desired, "behind_ms": staleFor.Milliseconds(),
			"inflight": in.Inflight[decision.Runner.ID], "long": in.LongRuns[decision.Runner.ID],
			"underway_ms": in.InProgress[decision.Runner.ID].Milliseconds(), "underway": len(in.InProgress), "at_once": in.MaxConcurrent,
		}).Info("runner on older weights gets no load order yet")
	}
}

// endPass completes the report of a reconciliation.
func (w *waitReporter) endPass() {
	w.logged = w.current
	w.updateGauges()
}

// reset clears the report when this process is not the leader.
func (w *waitReporter) reset() {
	if len(w.counts) == 0 {
		return
	}
	w.counts, w.logged = nil, map[staleRunner]WaitReason{}
	w.updateGauges()
}

func (w *waitReporter) updateGauges() {
	if w.metrics == nil {
		return
	}
	for _, reason := range WaitReasons {
		w.metrics.waiting.WithLabelValues(string(reason)).Set(float64(w.counts[reason]))
	}
}
