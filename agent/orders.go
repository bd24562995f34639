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

// Platform keys of orders.
const (
	slotPrefix  = "acaciakeel/load-slots/"
	orderPrefix = "acaciakeel/orders/"
)

// Times of orders.
const (
	orderInterval = 200 * time.Millisecond
	// slotPause is the mean time between two tries for a load slot.
	slotPause = 500 * time.Millisecond
	// slotTTL outlasts the draining and the longest order.
	slotTTL = 2 * order.OrderTimeout
	// orderMargin is how old the own record of an order may be when the order
	// is sent: a process paused between the two must not send it.
	orderMargin = 2 * time.Second
)

// record is the platform's account of the order to one engine. Its revision
// is the fencing number.
type record struct {
	Incarnation    string `json:"incarnation"`
	WeightsVersion string `json:"weights_version"`
	Done           bool   `json:"done"`
}

// orders brings one engine to the weights that its model should have. It is
// owned by its goroutine.
type orders struct {
	agent     *Agent
	store     store.Store
	slot      string
	lease     store.LeaseID
	nextTry   time.Time
	downSince time.Time
	// othersSince is when another holder's unfinished order was first seen,
	// at revision othersAt.
	othersSince time.Time
	othersAt    int64
}

func (o *orders) run(ctx context.Context) {
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			o.step(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (o *orders) step(ctx context.Context) {
	desired, rank, loads := o.desired()
	r := o.agent.runner
	state, idle := r.orderState()
	in := order.Input{
		EngineUp: state.up && !state.loading,
		Desired:  desired,
		Loaded:   state.weightsVersion,
		SlotHeld: o.slot != "",
		Rank:     rank,
		Idle:     idle,
	}
	if !o.downSince.IsZero() {
		in.PlatformDownFor = time.Since(o.downSince)
	}
	switch order.Next(in) {
	case order.NoStep:
		r.drain(false)
		o.releaseSlot(ctx)
	case order.AcquireSlot, order.AwaitTurn:
		o.takeSlot(ctx, loads)
	case order.Drain:
		r.drain(true)
	case order.Load:
		r.drain(true)
		o.load(ctx, desired)
	}
}

// desired returns the weights that the engine should have, the target's rank
// among those of its model, and how many of them may load at once.
func (o *orders) desired() (weights string, rank, loads int) {
	snapshot := o.agent.follower.State().Snapshot
	name := o.agent.settings.Target.Name
	model := snapshot.Targets[name].Model
	targets := snapshot.TargetsOfModel(model)
	spec := snapshot.Models[model]
	rank = max(0, slices.Index(targets, name))
	return spec.WeightsVersion, rank, order.ConcurrentLoads(spec.MinRunners, len(targets))
}

// takeSlot tries each of the first load slots once in a while. Slots hang on
// leases, so that those of a dead agent come free.
func (o *orders) takeSlot(ctx context.Context, loads int) {
	if time.Now().Before(o.nextTry) {
		return
	}
	o.nextTry = time.Now().Add(slotPause)
	listing, err := o.store.List(ctx, slotPrefix)
	if !o.reached(err) {
		return
	}
	taken := map[string]bool{}
	for _, entry := range listing.Entries {
		taken[entry.Key] = true
	}
	lease, err := o.store.Grant(ctx, slotTTL)
	if !o.reached(err) {
		return
	}
	for i := range loads {
		key := fmt.Sprintf("%s%d", slotPrefix, i)
		if !taken[key] && o.putSlot(ctx, key, lease) {
			return
		}
	}
}

func (o *orders) putSlot(ctx context.Context, key string, lease store.LeaseID) bool {
	_, err := o.store.Put(ctx, key, []byte(o.agent.incarnation), 0, lease)
	if err != nil {
		// A slot written by a lost answer comes free with its lease.
		return false
	}
	o.slot, o.lease = key, lease
	return true
}

// reached notes whether the platform's service answers.
func (o *orders) reached(err error) bool {
	if err == nil {
		o.downSince = time.Time{}
		return true
	}
	if o.downSince.IsZero() {
		o.downSince = time.Now()
	}
	return false
}

func (o *orders) releaseSlot(ctx context.Context) {
	if o.slot == "" {
		return
	}
	entry, err := o.store.Get(ctx, o.slot)
	if err == nil && string(entry.Value) == o.agent.incarnation {
		_, _ = o.store.Delete(ctx, o.slot, entry.Revision)
	}
	o.slot = ""
}

// load takes ownership of the engine and sends the order. The record's
// revision fences off older holders where the engine checks it. Where it does
// not, the agent is the guard: it waits out another holder's unfinished
// order, and sends its own only while its record is fresh.
func (o *orders) load(ctx context.Context, desired string) {
	fence, fresh, ok := o.own(ctx, desired)
	if !ok {
		return
	}
	if time.Since(fresh) > orderMargin {
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
	}).Info("weights ordered")
	if err == nil {
		o.finish(ctx, fence, desired)
	}
}

// own writes the record of this order and returns its revision, and when the
// write began by the own monotonic clock.
func (o *orders) own(ctx context.Context, desired string) (fence int64, began time.Time, ok bool) {
	key := orderPrefix + o.agent.settings.Target.Name
	entry, err := o.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		entry, err = store.Entry{}, nil
	}
	if err != nil {
		o.reached(err)
		// Without the service the last known fence is used: an engine that
		// checks refuses it if somebody else has ordered since.
		return o.othersAt, time.Now(), !o.downSince.IsZero() && time.Since(o.downSince) > order.PlatformGracePeriod
	}
	if o.mustWaitOut(entry) {
		return 0, time.Time{}, false
	}
	began = time.Now()
	value, err := json.Marshal(record{Incarnation: o.agent.incarnation, WeightsVersion: desired})
	if err != nil {
		return 0, began, false
	}
	fence, err = o.store.Put(ctx, key, value, entry.Revision, "")
	o.othersAt = fence
	return fence, began, err == nil
}

// mustWaitOut reports whether another holder's order may still reach an
// engine that would take it.
func (o *orders) mustWaitOut(entry store.Entry) bool {
	var have record
	if entry.Revision == 0 || json.Unmarshal(entry.Value, &have) != nil {
		return false
	}
	checks := o.agent.follower.State().Snapshot.Targets[o.agent.settings.Target.Name].ChecksFencing
	if have.Done || have.Incarnation == o.agent.incarnation || checks {
		return false
	}
	if entry.Revision != o.othersAt {
		o.othersAt, o.othersSince = entry.Revision, time.Now()
	}
	return time.Since(o.othersSince) < order.OrderTimeout
}

// finish marks the order as done, so that nobody waits it out.
func (o *orders) finish(ctx context.Context, fence int64, desired string) {
	value, err := json.Marshal(record{Incarnation: o.agent.incarnation, WeightsVersion: desired, Done: true})
	if err != nil {
		return
	}
	_, _ = o.store.Put(ctx, orderPrefix+o.agent.settings.Target.Name, value, fence, "")
}
