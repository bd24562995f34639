package node

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/fleet"
	"acaciakeel/telemetry"
)

// limitUseInterval is how often the calls of targets with limits are logged.
const limitUseInterval = time.Second

// targetLimitMetrics are the metrics of calls to targets that name limits.
type targetLimitMetrics struct {
	limited prometheus.Gauge
	sent    *prometheus.CounterVec
}

func newTargetLimitMetrics(r *prometheus.Registry) targetLimitMetrics {
	return targetLimitMetrics{
		limited: telemetry.NewGauge(r, "keel_node_limited_targets", "Targets that name a limit of requests a second.").WithLabelValues(),
		sent:    telemetry.NewCounter(r, "keel_node_limited_sends_total", "Calls of targets that name a limit: requests, and readings of cache events.", "call"),
	}
}

// logTargetLimits logs the calls of this node to targets that name limits.
func (n *Node) logTargetLimits(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, limitUseInterval)
		uses := n.view.fleet.TakeLimitUsage()
		n.targetLimits.limited.Set(float64(len(uses)))
		for _, u := range uses {
			n.targetLimits.sent.WithLabelValues("request").Add(float64(u.Requests))
			n.targetLimits.sent.WithLabelValues("reading").Add(float64(u.CacheReads))
			n.log.WithFields(logrus.Fields{
				"event": "target_limit_use", "target": u.Target.ID, "born": u.Target.Born, "limit": u.Rate, "requests": u.Requests, "readings": u.CacheReads,
			}).Info("calls in the last second of a target that names a limit")
		}
	}
}

// logTargetUpdates logs limits and departures of targets that were learnt from another node.
func (p *peerExchange) logTargetUpdates(merged fleet.MergeResult, from string) {
	for _, c := range merged.Limits {
		p.log.WithFields(logrus.Fields{
			"event": "target_limit", "from": from, "target": c.Target.ID, "born": c.Target.Born, "named": c.New.Declared, "limit": c.New.Rate, "former": c.Old.Rate,
		}).Info("another node reports a target's limit")
	}
	for _, l := range merged.ShuttingDown {
		p.log.WithFields(logrus.Fields{"event": "target_leaves", "from": from, "target": l.ID, "born": l.Born}).Info("another node reports that the target leaves")
	}
}
