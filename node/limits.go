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

// receiveLimits takes what a datagram tells of limits.
func (p *peerExchange) receiveLimits(message *keelv1.Pulse, now time.Time) {
	p.receiveUsage(p.view.customerLimiter, message, message.Limits, now)
	p.receiveUsage(p.view.targetLimiter, message, message.TargetLimits, now)
}

// receiveUsage takes what a datagram tells of the uses of one book.
func (p *peerExchange) receiveUsage(b *quota.Limiter, message *keelv1.Pulse, w *keelv1.LimitNews, now time.Time) {
	if w == nil {
		return
	}
	n := pulses.DecodeLimits(message.Sender, w)
	if message.Group != nil {
		b.ApplyGroupUpdate(int(message.Group.Group), n, now)
		return
	}
	b.ApplyPeerUpdate(n, now)
}

// updateLimitMembers has the limits shared among as many processes as serve: of one node's
// starts the former have ended. The caller holds mu.
func (v *view) updateLimitMembers() {
	nodes := map[string]bool{nodeKey(v.self): true}
	for key := range v.members {
		nodes[nodeKey(key)] = true
	}
	v.customerLimiter.SetMembers(len(nodes))
	v.targetLimiter.SetMembers(len(nodes))
}

// nodeKey returns what all starts of one node have in common in their members' keys.
func nodeKey(key string) string {
	return key[:max(0, strings.LastIndexByte(key, '/'))]
}

// Figures of the count of entries that the store keeps.
const (
	// nodeCountInterval is how often it is compared with the members.
	nodeCountInterval = time.Second
	// nodeCountLowerDelay is for how long there must be fewer before the count is lowered: a day's
	// restarts and failures must not make it forget how many come back.
	nodeCountLowerDelay = 30 * time.Second
	// maxNodeCount bounds a count that is believed.
	maxNodeCount = 100_000
)

// nodeCount is how many entries there have been lately, as the store keeps it. After
// all were killed at once each would take itself for the only one until it has heard of
// the others, and let in all that a limit allows.
type nodeCount struct {
	stored, revision int64
	belowSince       time.Time
}

// setNodeCount takes the count from the store.
func (v *view) setNodeCount(value string, revision int64) {
	n, err := strconv.ParseInt(value, 10, 64)
	if value != "" && (err != nil || n < 1 || n > maxNodeCount) {
		v.LeftOut(platform.LeftOut{Key: v.keys.nodeCount, Revision: revision, Fault: &platform.Fault{Reason: platform.BadValue}})
		return
	}
	v.skipped.clear(v.keys.nodeCount)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.nodeCount.stored, v.nodeCount.revision = n, revision
	v.customerLimiter.SetRecentMembers(int(n))
	v.targetLimiter.SetRecentMembers(int(n))
}

// pendingNodeCount returns the count that the store should have, and whether it has another.
func (v *view) pendingNodeCount(now time.Time) (n, revision int64, due bool) {
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

// maintainNodeCount keeps the store's count of entries while this node holds the seat.
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
			n.log.WithError(err).WithField("event", "count_failed").Warn("entries that all start anew share limits as the store says there were before")
		}
	}
}

// limitMetrics are the counters of customers' limits.
type limitMetrics struct {
	changes *prometheus.CounterVec
}

func newLimitMetrics(r *prometheus.Registry, book *quota.Limiter) limitMetrics {
	telemetry.NewGaugeFunc(r, "keel_node_limits_part", "Part of customers' limits that is left to the entries that hear each other.", func() float64 {
		return book.State(time.Now()).LimitFraction
	})
	telemetry.NewGaugeFunc(r, "keel_node_limits_customers_over", "Customers that were over their limits in the last seconds.", func() float64 {
		over := 0
		for _, u := range book.State(time.Now()).Customers {
			if u.Over {
				over++
			}
		}
		return float64(over)
	})
	return limitMetrics{changes: telemetry.NewCounter(r, "keel_node_limits_changes_total", "Customers that went over their limits here, or came back within them.", "what")}
}

// limitLogInterval is how often customers over their limits are looked for.
const limitLogInterval = time.Second

// logLimits logs customers that go over their limits, and that come back.
func (n *Node) logLimits(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, limitLogInterval)
		for _, c := range n.view.customerLimiter.Changes(time.Now()) {
			event, message := "customer_within", "the customer is within its limit again"
			if c.Over {
				event, message = "customer_over", "the customer is over its limit; what is beyond it is refused"
			}
			n.limits.changes.WithLabelValues(event).Inc()
			n.log.WithFields(logrus.Fields{
				"event": event, "customer": c.Customer, "unit": c.Unit, "rate": c.Rate, "burst": c.Burst, "left": math.Round(c.Remaining),
				"asked": math.Round(c.Demand), "asked_of_all": math.Round(c.TotalDemand), "admitted": c.Admitted, "refused": c.Refused,
			}).Info(message)
		}
	}
}

// serveLimits answers what this node knows of customers' use against their limits.
func (n *Node) serveLimits(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.view.customerLimiter.State(time.Now())); err != nil {
		n.log.WithError(err).WithField("event", "limits_unsent").Info("whoever asked for the limits left")
	}
}
