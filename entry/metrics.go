package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"acaciakeel/telemetry"
)

// metrics holds the metrics of an entry, which docs/operating/metrics.md lists.
type metrics struct {
	requests             *prometheus.CounterVec
	refusals             *prometheus.CounterVec
	retries              *prometheus.CounterVec
	streamEvents         *prometheus.CounterVec
	firstToken           *prometheus.HistogramVec
	tokens               *prometheus.CounterVec
	promptTokens         *prometheus.CounterVec
	askFailures          prometheus.Counter
	retryBudgetExhausted prometheus.Counter
	configEvents         *prometheus.CounterVec
	changes              *prometheus.CounterVec
	chooseDuration       prometheus.Observer
}

func newMetrics(r *prometheus.Registry) *metrics {
	return &metrics{
		requests:             telemetry.NewCounter(r, "keel_entry_requests_total", "Requests by operation and HTTP status.", "operation", "status"),
		refusals:             telemetry.NewCounter(r, "keel_entry_refusals_total", "Requests refused, by kind.", "kind"),
		retries:              telemetry.NewCounter(r, "keel_entry_retries_total", "Requests sent again, by reason.", "reason"),
		streamEvents:         telemetry.NewCounter(r, "keel_entry_stream_events_dropped_total", "Stream events not passed on: duplicate, ahead, crossed.", "verdict"),
		firstToken:           telemetry.NewLatency(r, "keel_entry_first_token_seconds", "Time from a request's arrival to its first token.", "model"),
		tokens:               telemetry.NewCounter(r, "keel_entry_completion_tokens_total", "Tokens passed to callers.", "customer"),
		promptTokens:         telemetry.NewCounter(r, "keel_entry_prompt_tokens_total", "Prompt tokens of finished requests, by whether the engine had them cached.", "cached"),
		askFailures:          telemetry.NewCounter(r, "keel_entry_ask_failures_total", "Questions to agents without an answer.").WithLabelValues(),
		retryBudgetExhausted: telemetry.NewCounter(r, "keel_entry_retry_budget_spent_total", "Retries not made because a budget was spent.").WithLabelValues(),
		configEvents:         telemetry.NewCounter(r, "keel_entry_config_events_total", "Failures of following the configuration, by event.", "event"),
		changes:              telemetry.NewCounter(r, "keel_entry_changes_total", "Operators' changes, by result.", "result"),
		chooseDuration:       telemetry.NewLatency(r, "keel_entry_choose_seconds", "Time taken to choose a target, questions to agents included.").WithLabelValues(),
	}
}
