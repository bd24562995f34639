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

// takeLimits takes what a datagram tells of limits.
func (p *pulse) takeLimits(message *keelv1.Pulse, now time.Time) {
	p.takeUses(p.view.limitBook, message, message.Limits, now)
	p.takeUses(p.view.targetBook, message, message.TargetLimits, now)
}

// takeUses takes what a datagram tells of the uses of one book.
func (p *pulse) takeUses(b *quota.Limiter, message *keelv1.Pulse, w *keelv1.LimitNews, now time.Time) {
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

// countMembers has the limits shared among as many processes as serve: of one node's
// starts the former have ended. The caller holds mu.
func (v *view) countMembers() {
	nodes := map[string]bool{nodeOf(v.self): true}
	for key := range v.members {
		nodes[nodeOf(key)] = true
	}
	v.limitBook.SetMembers(len(nodes))
	v.targetBook.SetMembers(len(nodes))
}

// nodeOf returns what all starts of one node have in common in their members' keys.
func nodeOf(key string) string {
	return key[:max(0, strings.LastIndexByte(key, '/'))]
}

// Figures of the count of entries that the store keeps.
const (
	// countEvery is how often it is compared with the members.
	countEvery = time.Second
	// fewerFor is for how long there must be fewer before the count is lowered: a day's
	// restarts and failures must not make it forget how many come back.
	fewerFor = 30 * time.Second
	// countMost bounds a count that is believed.
	countMost = 100_000
)

// entryCount is how many entries there have been lately, as the store keeps it. After
// all were killed at once each would take itself for the only one until it has heard of
// the others, and let in all that a limit allows.
type entryCount struct {
	stored, revision int64
	fewerSince       time.Time
}

// counted takes the count from the store.
func (v *view) counted(value string, revision int64) {
	n, err := strconv.ParseInt(value, 10, 64)
	if value != "" && (err != nil || n < 1 || n > countMost) {
		v.EntryRejected(platform.RejectedEntry{Key: v.keys.count, Revision: revision, Err: &platform.EntryError{Reason: platform.BadValue}})
		return
	}
	v.foreign.forget(v.keys.count)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.count.stored, v.count.revision = n, revision
	v.limitBook.SetRecentMembers(int(n))
	v.targetBook.SetRecentMembers(int(n))
}

// dueCount returns the count that the store should have, and whether it has another.
func (v *view) dueCount(now time.Time) (n, revision int64, due bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	n = int64(len(v.members))
	switch {
	case n >= v.count.stored:
		v.count.fewerSince = now
		return n, v.count.revision, n > v.count.stored
	case now.Sub(v.count.fewerSince) < fewerFor:
		return 0, 0, false
	}
	return n, v.count.revision, true
}

// keepCount keeps the store's count of entries while this node holds the seat.
func (n *Node) keepCount(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, countEvery)
		if _, held := n.view.seat.Held(); !held || n.view.follower.Disconnected() {
			continue
		}
		count, revision, due := n.view.dueCount(time.Now())
		if !due {
			continue
		}
		_, err := n.store.Put(ctx, n.view.keys.count, []byte(strconv.FormatInt(count, 10)), revision, "")
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

// limitsEvery is how often customers over their limits are looked for.
const limitsEvery = time.Second

// logLimits logs customers that go over their limits, and that come back.
func (n *Node) logLimits(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, limitsEvery)
		for _, c := range n.view.limitBook.Changes(time.Now()) {
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
	if err := json.NewEncoder(w).Encode(n.view.limitBook.State(time.Now())); err != nil {
		n.log.WithError(err).WithField("event", "limits_unsent").Info("whoever asked for the limits left")
	}
}
