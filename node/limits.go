package node

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/clock"
	"acaciakeel/platform"
	"acaciakeel/pulses"
	"acaciakeel/quota"
	"acaciakeel/store"
	"acaciakeel/telemetry"
)

// receiveLimits applies the limit usage in a datagram.
func (p *peerExchange) receiveLimits(message *keelv1.Pulse, now time.Time) {
	p.receiveUsage(p.view.customerLimiter, message, message.Limits, now)
	p.receiveUsage(p.view.targetLimiter, message, message.TargetLimits, now)
}

// receiveUsage applies the usage in a datagram to one limiter.
func (p *peerExchange) receiveUsage(limiter *quota.Limiter, message *keelv1.Pulse, w *keelv1.LimitNews, now time.Time) {
	if w == nil {
		return
	}
	update := pulses.DecodeLimits(message.Sender, w)
	if message.Group != nil {
		limiter.ApplyGroupUpdate(int(message.Group.Group), update, now)
		return
	}
	limiter.ApplyPeerUpdate(update, now)
}

// updateLimitMembers sets the number of processes that share the limits. Several starts of one
// node count once, as the earlier ones have ended. The caller holds mu.
func (v *view) updateLimitMembers() {
	nodes := map[string]bool{nodeKey(v.self): true}
	for key := range v.members {
		nodes[nodeKey(key)] = true
	}
	v.servingNodes.Store(int64(len(nodes)))
	v.customerLimiter.SetMembers(len(nodes))
	v.targetLimiter.SetMembers(len(nodes))
}

// nodeKey returns the part of a member's key that all starts of its node have in common.
func nodeKey(key string) string {
	return key[:max(0, strings.LastIndexByte(key, '/'))]
}

// Timing and bounds of the node count in the store.
const (
	// nodeCountInterval is how often it is compared with the number of members.
	nodeCountInterval = time.Second
	// nodeCountLowerDelay is how long there must be fewer members before the count is lowered:
	// everyday restarts and failures must not lower it, as those nodes come back.
	nodeCountLowerDelay = 30 * time.Second
	// maxNodeCount is the largest count that is accepted from the store.
	maxNodeCount = 100_000
)

// nodeCount is the recent number of nodes as kept in the store. Without it, after all nodes
// were killed at once, each would assume that it is the only one until it hears from the
// others, and admit the whole of each limit.
type nodeCount struct {
	stored     int64
	revision   store.Position
	belowSince time.Time
}

// setNodeCount applies the count from the store.
func (v *view) setNodeCount(value string, revision store.Position) {
	n, err := strconv.ParseInt(value, 10, 64)
	if value != "" && (err != nil || n < 1 || n > maxNodeCount) {
		v.EntryRejected(platform.RejectedEntry{Key: v.keys.nodeCount, Revision: revision, Err: &platform.EntryError{Reason: platform.BadValue}})
		return
	}
	v.rejected.removeRecord(v.keys.nodeCount)
	if value == "" {
		// A write requires then that the key does not exist; a deletion's own revision
		// would be the revision of no entry.
		revision = 0
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.nodeCount.stored, v.nodeCount.revision = n, revision
	v.customerLimiter.SetRecentMembers(int(n))
	v.targetLimiter.SetRecentMembers(int(n))
}

// nodeCountRejected records that another writer's entry stands in place of the count. The
// leader replaces it; until then the last count is in force.
func (v *view) nodeCountRejected(revision store.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.nodeCount.stored, v.nodeCount.revision = 0, revision
}

// pendingNodeCount returns the count that the store should have, and whether it has to be
// written.
func (v *view) pendingNodeCount(now time.Time) (n int64, revision store.Position, due bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	n = int64(len(v.members))
	switch {
	case n >= v.nodeCount.stored:
		v.nodeCount.belowSince = now
		return n, v.nodeCount.revision, n > v.nodeCount.stored
	case now.Sub(v.nodeCount.belowSince) < nodeCountLowerDelay:
		return 0, 0, false
	}
	return n, v.nodeCount.revision, true
}

// maintainNodeCount keeps the node count in the store up to date while this node is the
// leader.
func (n *Node) maintainNodeCount(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, nodeCountInterval)
		if _, held := n.view.leaderLock.Held(); !held || n.view.follower.Disconnected() {
			continue
		}
		count, revision, due := n.view.pendingNodeCount(time.Now())
		if !due {
			continue
		}
		_, err := n.store.Put(ctx, n.view.keys.nodeCount, []byte(strconv.FormatInt(count, 10)), revision, "")
		if err != nil && !errors.Is(err, store.ErrConflict) {
			n.log.WithError(err).WithField("event", "count_failed").Warn("could not store the node count; after a restart of all nodes limits are divided by the previous one")
		}
	}
}

// limitMetrics are the metrics of customers' limits.
type limitMetrics struct {
	changes *prometheus.CounterVec
}

func newLimitMetrics(r *prometheus.Registry, limiter *quota.Limiter) limitMetrics {
	telemetry.NewGaugeFunc(r, "keel_node_limits_part", "Part of customers' limits that is left to the entries that hear each other.", func() float64 {
		return limiter.State(time.Now()).LimitFraction
	})
	telemetry.NewGaugeFunc(r, "keel_node_limits_customers_over", "Customers that were over their limits in the last seconds.", func() float64 {
		over := 0
		for _, u := range limiter.State(time.Now()).Customers {
			if u.Over {
				over++
			}
		}
		return float64(over)
	})
	return limitMetrics{changes: telemetry.NewCounter(r, "keel_node_limits_changes_total", "Customers that went over their limits here, or came back within them.", "what")}
}

// limitLogInterval is how often limits are checked for changes to be logged.
const limitLogInterval = time.Second

// logLimits logs when customers exceed their limits and when they are within them again.
func (n *Node) logLimits(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, limitLogInterval)
		for _, c := range n.view.customerLimiter.Changes(time.Now()) {
			event, message := "customer_within", "the customer is within its limit again"
			if c.Over {
				event, message = "customer_over", "the customer is over its limit; requests beyond it are refused"
			}
			n.limits.changes.WithLabelValues(event).Inc()
			n.log.WithFields(logrus.Fields{
				"event": event, "customer": c.Customer, "unit": c.Unit, "rate": c.Rate, "burst": c.Burst, "left": math.Round(c.Remaining),
				"asked": math.Round(c.Demand), "asked_of_all": math.Round(c.TotalDemand), "admitted": c.Admitted, "refused": c.Refused,
			}).Info(message)
		}
	}
}

// serveLimits serves this node's view of customers' usage and limits as JSON.
func (n *Node) serveLimits(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.view.customerLimiter.State(time.Now())); err != nil {
		n.log.WithError(err).WithField("event", "limits_unsent").Info("could not send the limits; the client disconnected")
	}
}
