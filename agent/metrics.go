package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"acaciakeel/telemetry"
)

// metrics are the Prometheus metrics of an agent. docs/operating/metrics.md lists their names.
type metrics struct {
	refusals      *prometheus.CounterVec
	asks          prometheus.Counter
	calls         *prometheus.CounterVec
	claimWrites   *prometheus.CounterVec
	cacheEvents   *prometheus.CounterVec
	resyncs       prometheus.Counter
	loadReports   *prometheus.CounterVec
	claimedTokens *prometheus.CounterVec
	queueWait     prometheus.Observer
	engineResumes prometheus.Counter
	duplicates    prometheus.Counter
	orphans       prometheus.Counter
	adopted       prometheus.Counter
	orders        *prometheus.CounterVec
	configEvents  *prometheus.CounterVec
}

func counter(r *prometheus.Registry, name, help string) prometheus.Counter {
	return telemetry.NewCounter(r, name, help).WithLabelValues()
}

func newMetrics(r *prometheus.Registry) *metrics {
	return &metrics{
		refusals:      telemetry.NewCounter(r, "keel_agent_refusals_total", "Requests refused, by kind.", "kind"),
		asks:          counter(r, "keel_agent_asks_total", "Questions of entries answered."),
		calls:         telemetry.NewCounter(r, "keel_agent_calls_total", "Calls that may not be repeated, by the ledger's verdict.", "verdict"),
		claimWrites:   telemetry.NewCounter(r, "keel_agent_claims_total", "Claims at the platform's service, by result.", "result"),
		cacheEvents:   telemetry.NewCounter(r, "keel_agent_cache_events_total", "Cache events, by what they did to the view.", "verdict"),
		resyncs:       counter(r, "keel_agent_cache_resyncs_total", "Dumps of the engine's cache taken."),
		loadReports:   telemetry.NewCounter(r, "keel_agent_load_reports_total", "Load reports of the engine: read, answered on an old connection only, failed.", "result"),
		claimedTokens: telemetry.NewCounter(r, "keel_agent_claimed_tokens_total", "Tokens believed cached against the engine's answer: held, over, under.", "truth"),
		queueWait:     telemetry.NewLatency(r, "keel_agent_queue_wait_seconds", "Time in the queue.").WithLabelValues(),
		engineResumes: counter(r, "keel_agent_engine_resumes_total", "Engine streams opened again at their offset."),
		duplicates:    counter(r, "keel_agent_duplicates_total", "Tokens that an engine sent twice and that were dropped."),
		orphans:       counter(r, "keel_agent_orphans_total", "Requests ended because nobody read them."),
		adopted:       counter(r, "keel_agent_adopted_total", "Streams taken over from an earlier incarnation of the agent."),
		orders:        telemetry.NewCounter(r, "keel_agent_orders_total", "Orders to the engine, by result.", "result"),
		configEvents:  telemetry.NewCounter(r, "keel_agent_config_events_total", "Failures of following the configuration, by event.", "event"),
	}
}
