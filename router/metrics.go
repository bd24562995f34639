package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"acaciakeel/telemetry"
)

// Metrics are the metrics of a router.
type Metrics struct {
	refusals        *prometheus.CounterVec
	retries         *prometheus.CounterVec
	exhausted       prometheus.Counter
	latency         *prometheus.HistogramVec
	startStaleness  prometheus.Histogram
	malformed       *prometheus.CounterVec
	shutdowns       prometheus.Counter
	backoffs        prometheus.Counter
	unresponsive    prometheus.Gauge
	detections      *prometheus.CounterVec
	givenUp         *prometheus.CounterVec
	pausesOver      *prometheus.HistogramVec
	resumptions     *prometheus.CounterVec
	ends            *prometheus.CounterVec
	confirmation    *prometheus.HistogramVec
	unmatched       *prometheus.CounterVec
	surplus         prometheus.Counter
	replacedConns   *prometheus.CounterVec
	promises        *prometheus.CounterVec
	resends         *prometheus.HistogramVec
	runEnds         *prometheus.HistogramVec
	oversized       *prometheus.CounterVec
	badResponses    *prometheus.CounterVec
	saveWait        *prometheus.HistogramVec
	misplacedEvents *prometheus.CounterVec
}

// NewMetrics registers the metrics of a router with r.
func NewMetrics(r *prometheus.Registry) *Metrics {
	exhausted := telemetry.NewCounter(r, "keel_router_retries_exhausted_total", "Retries that the budget did not allow.")
	return &Metrics{
		refusals:        telemetry.NewCounter(r, "keel_router_refusals_total", "Requests refused or failed, by kind.", "kind"),
		retries:         telemetry.NewCounter(r, "keel_router_retries_total", "Further sends, by reason.", "reason"),
		exhausted:       exhausted.WithLabelValues(),
		latency:         telemetry.NewLatency(r, "keel_router_request_seconds", "Time from a request's arrival to its end, by route.", "route"),
		shutdowns:       telemetry.NewCounter(r, "keel_router_targets_leaving_total", "Targets that first said to this entry in an answer that they leave.").WithLabelValues(),
		backoffs:        telemetry.NewCounter(r, "keel_router_rests_total", "Answers by which a target asked this entry to leave it alone for a while.").WithLabelValues(),
		unresponsive:    telemetry.NewGauge(r, "keel_router_unresponsive_targets", "Targets that get no requests because they do not respond.").WithLabelValues(),
		detections:      telemetry.NewCounter(r, "keel_router_unresponsive_changes_total", "Targets that were found not to respond, by this entry's own probes or reports of others, and that respond again.", "change"),
		givenUp:         telemetry.NewCounter(r, "keel_router_requests_given_up_total", "Requests given up because their target does not respond, by what they waited for.", "reason"),
		malformed:       telemetry.NewCounter(r, "keel_router_notices_unread_total", "Words of targets on themselves that could not be read, by field.", "field"),
		pausesOver:      telemetry.NewLatency(r, "keel_router_pauses_over_seconds", "By how much the longest pause of a stream exceeded the bound of its route.", "route"),
		resumptions:     telemetry.NewCounter(r, "keel_router_resumptions_total", "Attempts to continue a stream, by who resumed it (client, entry), by how it is known what began the stream, and by result.", "by", "origin", "result"),
		ends:            telemetry.NewCounter(r, "keel_router_response_ends_total", "Responses of targets that ended, by how they mark the end of their body and by how it ended.", "framing", "end"),
		confirmation:    telemetry.NewLatency(r, "keel_router_end_confirmation_seconds", "Time for which the end of a response without length or chunks waited until its target had said that it still serves, by result.", "result"),
		unmatched:       telemetry.NewCounter(r, "keel_router_unmatched_responses_total", "Responses of targets that do not carry the ID of the request, by what they carry (other, missing), by whether they refuse to run it, and by whether their connection had carried other responses (new, reused).", "id", "answer", "connection"),
		surplus:         telemetry.NewCounter(r, "keel_router_surplus_responses_total", "Responses of targets to earlier requests that came once more, ahead of the one that was due, and were dropped.").WithLabelValues(),
		replacedConns:   telemetry.NewCounter(r, "keel_router_replaced_connections_total", "Connections to targets that could not take a request, which got a new one, by reason.", "reason"),
		promises:        telemetry.NewCounter(r, "keel_router_not_run_total", "Requests whose client was told that they have not run, by what that rests on and by kind.", "basis", "kind"),
		resends:         telemetry.NewLatency(r, "keel_router_resend_seconds", "Time from the end of an attempt that its target may still work on to the next one, by the reason of the retry.", "reason"),
		runEnds:         telemetry.NewLatency(r, "keel_router_run_end_seconds", "Time for which a request waited until it was known whether the engine of its last attempt still works on it, by result.", "result"),
		oversized:       telemetry.NewCounter(r, "keel_router_oversized_responses_total", "Responses of targets that were ended because a part of them was over its bound, by that part.", "part"),
		badResponses:    telemetry.NewCounter(r, "keel_router_malformed_responses_total", "Responses of targets that the protocol does not allow, by the part with the fault and by the fault.", "part", "fault"),
		saveWait:        telemetry.NewLatency(r, "keel_router_save_wait_seconds", "Time for which the first event of a stream waited until what began the stream was saved, by result.", "result"),
		misplacedEvents: telemetry.NewCounter(r, "keel_router_misplaced_streams_total", "Responses of targets that were ended because an event did not follow what the client had of the stream, by whether the request has a prompt.", "prompt"),
		startStaleness:  telemetry.NewAges(r, "keel_router_replaced_weights_seconds", "For how long newer weights had been wanted when runs began on older ones."),
	}
}

// RetryBounds limits the retries of all processes together. The deployment sets them.
type RetryBounds struct {
	// Ratio is the share of the requests of a service that may be retried.
	Ratio float64
	// Extra is the number of additional retries allowed per Window.
	Extra  float64
	Window time.Duration
}
