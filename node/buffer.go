package node

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"acaciakeel/httpbody"
	"acaciakeel/responsebuffer"
	"acaciakeel/router"
	"acaciakeel/telemetry"
)

const (
	// responseMemoryShare is the divisor of the VM's memory that gives what responses may
	// hold while they are read whole and for clients that read slowly.
	responseMemoryShare = 4
	// requestMemoryShare is the divisor that gives what the bodies of requests may hold.
	requestMemoryShare = 4
	// defaultMemoryMB is assumed where the settings don't state the VM's memory: about that of
	// the smallest VMs in use.
	defaultMemoryMB = 112
)

// memoryBytes returns the memory of a VM by its setting.
func memoryBytes(memoryMB int) int64 {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return int64(memoryMB) << 20
}

// responseLimits returns the limits of what responses hold on a VM with the given memory.
func responseLimits(memoryMB int) responsebuffer.Limits {
	return responsebuffer.Limits{Response: router.MaxHeldResponse, Total: memoryBytes(memoryMB) / responseMemoryShare}
}

// newBodyBudget returns the budget of the bodies of requests, which are held until their requests
// end: they may have to be sent again.
func newBodyBudget(r *prometheus.Registry, memoryMB int) *httpbody.Budget {
	budget := httpbody.NewBudget(memoryBytes(memoryMB) / requestMemoryShare)
	telemetry.NewGaugeFunc(r, "keel_node_request_bytes_held", "Bytes of requests' bodies that are held.", func() float64 {
		return float64(budget.Held())
	})
	telemetry.NewGaugeFunc(r, "keel_node_request_bodies_refused_total", "Requests refused because other requests' bodies took the memory.", func() float64 {
		return float64(budget.Refused())
	})
	return budget
}

// HeapLimit returns the soft limit of the Go runtime on a VM with the given memory, or 0 if
// that is unknown. Without it the heap grows to twice what is in use between collections, and
// held responses take twice their share. Three fifths leave room for the sockets of clients
// that read slowly; an entry without held responses uses a third of that on the smallest VMs.
func HeapLimit(memoryMB int) int64 {
	return max(0, int64(memoryMB)) << 20 * 3 / 5
}

// newResponseBuffer returns the pool of the responses to clients, which logs and counts the
// responses that it aborts.
func newResponseBuffer(r *prometheus.Registry, memoryMB int, log logrus.FieldLogger) *responsebuffer.Pool {
	aborted := telemetry.NewCounter(r, "keel_node_responses_aborted_total", "Responses aborted while they waited for their clients, by reason.", "reason")
	for _, reason := range responsebuffer.Reasons() {
		aborted.WithLabelValues(string(reason))
	}
	pool := responsebuffer.NewPool(responseLimits(memoryMB), func(id string, reason responsebuffer.Reason, bytes int64) {
		aborted.WithLabelValues(string(reason)).Inc()
		log.WithFields(logrus.Fields{"event": "response_aborted", "request": id, "reason": reason, "held_bytes": bytes}).Info("the client did not take the response in time")
	})
	telemetry.NewGaugeFunc(r, "keel_node_response_bytes_held", "Bytes of responses that are read whole or wait for clients that read slowly.", func() float64 {
		return float64(pool.Usage().Bytes)
	})
	telemetry.NewGaugeFunc(r, "keel_node_responses_held", "Responses of which a part is held.", func() float64 {
		return float64(pool.Usage().Responses)
	})
	telemetry.NewGaugeFunc(r, "keel_node_response_bytes_largest", "Bytes held by the response that holds most.", func() float64 {
		return float64(pool.Usage().Largest)
	})
	return pool
}
