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

// logAfter is for how long a runner must be behind before the log says why: a
// rollout of idle runners ends sooner.
const logAfter = 3 * time.Second

// waitReporter tells why runners that are behind get no order: in the gauges after each
// look, and in the log once a change of a runner's reason. Only the goroutine that
// looks uses it.
type waitReporter struct {
	metrics *Metrics
	log     logrus.FieldLogger
	counts  map[WaitReason]int
	// logged are the reasons that the log has, and current those of the look under way.
	logged, current map[staleRunner]WaitReason
}

// staleRunner is a life of a runner that is behind in a model's weights.
type staleRunner struct {
	life  fleet.Life
	model string
}

func newWaitReporter(m *Metrics, log logrus.FieldLogger) waitReporter {
	return waitReporter{metrics: m, log: log, logged: map[staleRunner]WaitReason{}}
}

// beginPass begins a look.
func (w *waitReporter) beginPass() {
	w.counts, w.current = map[WaitReason]int{}, map[staleRunner]WaitReason{}
}

// record takes what becomes of the runners of a model.
func (w *waitReporter) record(in Input, decisions []Decision) {
	for _, t := range decisions {
		w.counts[t.WaitReason]++
		staleFor := in.StaleFor[t.Runner.ID]
		if staleFor < logAfter {
			continue
		}
		key := staleRunner{t.Runner.Life(), in.Model}
		w.current[key] = t.WaitReason
		if t.WaitReason == None || w.logged[key] == t.WaitReason {
			continue
		}
		w.log.WithFields(logrus.Fields{
			"event": "order_waits", "runner": t.Runner.ID, "born": t.Runner.Born, "model": in.Model, "reason": t.WaitReason,
			"weights": t.Runner.Weights[in.Model], "newest": in.Desired, "behind_ms": staleFor.Milliseconds(),
			"inflight": in.Inflight[t.Runner.ID], "long": in.LongRuns[t.Runner.ID],
			"underway_ms": in.InProgress[t.Runner.ID].Milliseconds(), "underway": len(in.InProgress), "at_once": in.MaxConcurrent,
		}).Info("a runner on older weights gets no order yet")
	}
}

// endPass ends a look.
func (w *waitReporter) endPass() {
	w.logged = w.current
	w.updateGauges()
}

// reset notes that this process gives no orders.
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
