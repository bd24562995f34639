package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/order"
	"acaciakeel/store"
)

// Key prefixes in the platform's store.
const (
	slotPrefix  = "acaciakeel/load-slots/"
	orderPrefix = "acaciakeel/orders/"
)

const (
	orderInterval = 200 * time.Millisecond
	// slotRetryInterval is the interval between attempts to acquire a load slot.
	slotRetryInterval = 500 * time.Millisecond
	// slotTTL is longer than draining and the longest order take.
	slotTTL = 2 * order.OrderTimeout
	// maxRecordAge is the maximum age of the agent's order record when the order is
	// sent: a process that was paused after writing the record must not send it.
	maxRecordAge = 2 * time.Second
)

// orderRecord is the stored record of the order to one engine.
type orderRecord struct {
	Incarnation    string `json:"incarnation"`
	WeightsVersion string `json:"weights_version"`
	Done           bool   `json:"done"`
	// Token is the order's fencing number; 0 in records of earlier versions, whose revision was.
	Token int64 `json:"token,omitempty"`
}

// recordedToken returns the fencing number of a stored record, or 0 for none.
func recordedToken(entry store.Entry) int64 {
	var stored orderRecord
	if entry.Revision == 0 || json.Unmarshal(entry.Value, &stored) != nil {
		return 0
	}
	if stored.Token == 0 {
		return entry.Revision.Revision()
	}
	if !order.ValidToken(stored.Token) {
		return 0
	}
	return stored.Token
}

// orderController makes one engine load the weights that its model should have. It is
// used by one goroutine only.
type orderController struct {
	agent             *Agent
	store             store.Store
	slot              string
	lease             store.LeaseID
	nextSlotTry       time.Time
	platformDownSince time.Time
	// foreignOrderSince is when another holder's unfinished order was first seen.
	// lastRevision is the revision of that order, or of the agent's own last write.
	foreignOrderSince time.Time
	lastRevision      store.Position
	// history is the number of the history of the platform's service that the slot is in;
	// replacedAt is when it began, zero for the first.
	history    int
	replacedAt time.Time
	// ownToken is the fencing number of this process's last order.
	ownToken int64
}

func (o *orderController) run(ctx context.Context) {
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			o.reconcile(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (o *orderController) reconcile(ctx context.Context) {
	snapshot := o.agent.follower.State().Snapshot
	o.noticeHistory(store.Position(snapshot.Revision), snapshot.ReplacedAt)
	desired, rank, maxLoads := o.desired()
	r := o.agent.runner
	state, idle := r.engineStateAndIdle()
	in := order.Input{
		EngineUp: state.up && !state.loading,
		Desired:  desired,
		Loaded:   state.weightsVersion,
		SlotHeld: o.slot != "",
		Rank:     rank,
		Idle:     idle,
	}
	if !o.platformDownSince.IsZero() {
		in.PlatformDownFor = time.Since(o.platformDownSince)
	}
	switch order.Next(in) {
	case order.NoStep:
		r.setDraining(false)
		o.releaseSlot(ctx)
	case order.AcquireSlot, order.AwaitTurn:
		o.acquireSlot(ctx, maxLoads)
	case order.Drain:
		r.setDraining(true)
	case order.Load:
		r.setDraining(true)
		o.load(ctx, desired)
	}
}

// desired returns the weights that the engine should have, the target's rank among the
// targets of its model, and how many of these may load at the same time.
func (o *orderController) desired() (weights string, rank, maxLoads int) {
	snapshot := o.agent.follower.State().Snapshot
	name := o.agent.settings.Target.Name
	model := snapshot.Targets[name].Model
	targets := snapshot.TargetsOfModel(model)
	spec := snapshot.Models[model]
	rank = max(0, slices.Index(targets, name))
	return spec.WeightsVersion, rank, order.ConcurrentLoads(spec.MinRunners, len(targets))
}

// acquireSlot tries to acquire one of the load slots, at most once per
// slotRetryInterval. Slots are bound to leases, so that those of a dead agent are
// released.
func (o *orderController) acquireSlot(ctx context.Context, maxLoads int) {
	if time.Now().Before(o.nextSlotTry) {
		return
	}
	o.nextSlotTry = time.Now().Add(slotRetryInterval)
	listing, err := o.store.List(ctx, slotPrefix)
	if !o.trackPlatform(err) {
		return
	}
	o.noticeHistory(listing.Revision, time.Now())
	if !o.ordersSettled() {
		return
	}
	// A slot of this process that is in an older copy of the service is taken again, for a new lease.
	own, taken := map[string]store.Position{}, map[string]bool{}
	for _, entry := range listing.Entries {
		if string(entry.Value) == o.agent.incarnation {
			own[entry.Key] = entry.Revision
			continue
		}
		taken[entry.Key] = true
	}
	lease, err := o.store.Grant(ctx, slotTTL)
	if !o.trackPlatform(err) {
		return
	}
	for i := range maxLoads {
		key := fmt.Sprintf("%s%d", slotPrefix, i)
		if !taken[key] && o.tryAcquireSlot(ctx, key, own[key], lease) {
			return
		}
	}
}

func (o *orderController) tryAcquireSlot(ctx context.Context, key string, ifRevision store.Position, lease store.LeaseID) bool {
	_, err := o.store.Put(ctx, key, []byte(o.agent.incarnation), ifRevision, lease)
	if err != nil {
		// If the write took effect but its response was lost, the slot is released with
		// its lease.
		return false
	}
	o.slot, o.lease = key, lease
	return true
}

// trackPlatform records since when the platform's service has been unreachable, and
// reports whether it was reached.
func (o *orderController) trackPlatform(err error) bool {
	if err == nil {
		o.platformDownSince = time.Time{}
		return true
	}
	if o.platformDownSince.IsZero() {
		o.platformDownSince = time.Now()
	}
	return false
}

// noticeHistory records the history that a position belongs to and when it began. In a later one
// the slot is gone with the copy, or its lease is older than this process believes.
func (o *orderController) noticeHistory(position store.Position, began time.Time) {
	if position.History() <= o.history {
		return
	}
	if began.IsZero() {
		began = time.Now()
	}
	o.history, o.replacedAt = position.History(), began
	if o.slot != "" {
		o.slot = ""
		o.agent.runner.setDraining(false)
	}
}

// ordersSettled reports whether all orders have ended whose slots and records may be gone with the
// copy from which the service came back.
func (o *orderController) ordersSettled() bool {
	return o.replacedAt.IsZero() || time.Since(o.replacedAt) >= order.OrderTimeout
}

func (o *orderController) releaseSlot(ctx context.Context) {
	if o.slot == "" {
		return
	}
	entry, err := o.store.Get(ctx, o.slot)
	if err == nil && string(entry.Value) == o.agent.incarnation {
		_, _ = o.store.Delete(ctx, o.slot, entry.Revision)
	}
	o.slot = ""
}

// load records the order and sends it to the engine. If the engine checks the fencing
// number, the record's one fences off older holders. Otherwise the agent waits
// until another holder's unfinished order has timed out, and sends its own order only
// while its record is fresh.
func (o *orderController) load(ctx context.Context, desired string) {
	fence, recordedAt, ok := o.writeRecord(ctx, desired)
	if !ok {
		return
	}
	if time.Since(recordedAt) > maxRecordAge {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, order.OrderTimeout)
	defer cancel()
	err := o.agent.runner.engine.Order(ctx, uint64(fence), desired)
	result := "done"
	if err != nil {
		result = "failed"
	}
	o.agent.metrics.orders.WithLabelValues(result).Inc()
	o.agent.log.WithError(err).WithFields(logrus.Fields{
		"event": "order", "weights_version": desired, "fence": fence, "result": result,
	}).Info("order to load weights sent")
	if err == nil {
		o.markDone(ctx, fence, desired)
	}
}

// writeRecord writes the record of this order and returns its fencing number and the time, by
// the local monotonic clock, at which the write began. The number is not the record's revision: a
// service that comes back from an older copy gives revisions out again.
func (o *orderController) writeRecord(ctx context.Context, desired string) (fence int64, began time.Time, ok bool) {
	key := orderPrefix + o.agent.settings.Target.Name
	entry, err := o.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		entry, err = store.Entry{}, nil
	}
	if err != nil {
		o.trackPlatform(err)
		// While the service is down, the number of the last order is used: an engine
		// that checks fencing numbers refuses it if another agent has sent an order since.
		return o.ownToken, time.Now(), !o.platformDownSince.IsZero() && time.Since(o.platformDownSince) > order.PlatformGracePeriod
	}
	if o.mustAwaitForeignOrder(entry) {
		return 0, time.Time{}, false
	}
	began = time.Now()
	state, _ := o.agent.runner.engineStateAndIdle()
	token := order.NextToken(began, o.agent.incarnation, max(o.ownToken, recordedToken(entry), state.fence))
	value, err := json.Marshal(orderRecord{Incarnation: o.agent.incarnation, WeightsVersion: desired, Token: token})
	if err != nil {
		return 0, began, false
	}
	revision, err := o.store.Put(ctx, key, value, entry.Revision, "")
	if err != nil {
		return 0, began, false
	}
	o.lastRevision, o.ownToken = revision, token
	o.noticeHistory(revision, time.Now())
	return token, began, o.ordersSettled()
}

// mustAwaitForeignOrder reports whether another holder's order may still reach an
// engine that does not check fencing numbers.
func (o *orderController) mustAwaitForeignOrder(entry store.Entry) bool {
	var stored orderRecord
	if entry.Revision == 0 || json.Unmarshal(entry.Value, &stored) != nil {
		return false
	}
	checks := o.agent.follower.State().Snapshot.Targets[o.agent.settings.Target.Name].ChecksFencing
	if stored.Done || stored.Incarnation == o.agent.incarnation || checks {
		return false
	}
	if entry.Revision != o.lastRevision {
		o.lastRevision, o.foreignOrderSince = entry.Revision, time.Now()
	}
	return time.Since(o.foreignOrderSince) < order.OrderTimeout
}

// markDone marks the order as done, so that other agents need not wait for it to time
// out.
func (o *orderController) markDone(ctx context.Context, fence int64, desired string) {
	value, err := json.Marshal(orderRecord{Incarnation: o.agent.incarnation, WeightsVersion: desired, Done: true, Token: fence})
	if err != nil {
		return
	}
	_, _ = o.store.Put(ctx, orderPrefix+o.agent.settings.Target.Name, value, o.lastRevision, "")
}
