package rollout

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/fleet"
	"acaciakeel/policy"
)

// RunnerClient reaches runners.
type RunnerClient interface {
	// Report asks a runner for its state.
	Report(ctx context.Context, of fleet.Runner) (fleet.Report, error)
	// Order gives an order.
	Order(ctx context.Context, o fleet.Order) (fleet.OrderResult, error)
}

// Leadership says whether this process may give orders now, and under which fence.
type Leadership interface {
	Held() (fence int64, ok bool)
	// Remaining returns for how long the right lasts at least.
	Remaining() time.Duration
}

// ServicesByModel returns which services run a model.
type ServicesByModel func() map[string][]string

// Config are what a holder gives its orders with.
type Config struct {
	Leadership Leadership
	Client     RunnerClient
	Fleet      *fleet.Fleet
	Services   ServicesByModel
	// Notify is called when there is news of a runner that the others should have
	// at once: until then they send to one that refuses.
	Notify  func()
	Metrics *Metrics
	// MaxStaleness is for how long after newer weights were named a runner gets requests.
	MaxStaleness time.Duration
}

// Controller gives the orders while it holds the office.
type Controller struct {
	name         string
	leadership   Leadership
	client       RunnerClient
	fleet        *fleet.Fleet
	services     ServicesByModel
	log          logrus.FieldLogger
	wake         chan struct{}
	notify       func()
	waits        waitReporter
	maxStaleness time.Duration

	// truncationDisabled is set while the others do not tell this process what they send.
	truncationDisabled atomic.Bool

	mu sync.Mutex
	// inProgress are the orders that have not ended, by the id of their runner. Once
	// the runner starts again its former life's order no longer counts: the new
	// one would wait for it in vain.
	inProgress map[string]activeOrder
	// orderDuration is what an order takes, from its turn to the end of the load; 0 until one
	// was seen.
	orderDuration time.Duration
}

// activeOrder is an order that has not ended: the life of its runner, and since when.
type activeOrder struct {
	life  fleet.Life
	since time.Time
}

// NewController returns a holder named name, which is the machine's.
func NewController(name string, s Config, log logrus.FieldLogger) *Controller {
	return &Controller{
		name: name, leadership: s.Leadership, client: s.Client, fleet: s.Fleet, services: s.Services, notify: s.Notify, maxStaleness: s.MaxStaleness, log: log,
		wake: make(chan struct{}, 1), waits: newWaitReporter(s.Metrics, log), inProgress: map[string]activeOrder{},
	}
}

// DisableTruncation has runners end their streams before they load: the others no longer tell
// which streams they have there, and those that can't go on elsewhere would be cut.
func (h *Controller) DisableTruncation() {
	h.truncationDisabled.Store(true)
}

// Wake makes the holder look at once.
func (h *Controller) Wake() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// reconcileInterval is how often the holder looks for runners that fell behind without
// news, such as one that came back from an outage.
const reconcileInterval = 300 * time.Millisecond

// Run gives orders until ctx ends.
func (h *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		if _, ok := h.leadership.Held(); ok {
			h.reconcile(ctx)
		} else {
			h.waits.reset()
		}
		select {
		case <-h.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (h *Controller) reconcile(ctx context.Context) {
	services := h.services()
	h.waits.beginPass()
	for model, desired := range h.fleet.Named() {
		var runners []fleet.Runner
		for _, service := range services[model] {
			runners = append(runners, h.fleet.Runners(service)...)
		}
		in := h.planInput(model, desired, runners)
		decisions := Plan(in)
		h.waits.record(in, decisions)
		for _, t := range decisions {
			if t.WaitReason == None {
				h.startOrder(ctx, t, model, desired)
			}
		}
	}
	h.waits.endPass()
}

func (h *Controller) planInput(model string, desired int64, runners []fleet.Runner) Input {
	h.mu.Lock()
	defer h.mu.Unlock()
	in := Input{
		Model:      model,
		Desired:    desired,
		Runners:    runners,
		InProgress: map[string]time.Duration{},
		Inflight:   map[string]int{},
		LongRuns:   map[string]int{},
		StaleFor:   map[string]time.Duration{},
	}
	now := time.Now()
	for id, u := range h.inProgress {
		if h.fleet.Holds(u.life) {
			in.InProgress[id] = now.Sub(u.since)
		}
	}
	if len(runners) > 0 {
		known := h.fleet.Loads(runners[0].Service)
		in.MaxConcurrent = known.AtOnce(len(runners))
		in.MaxStaleness, in.OrderDuration = h.maxStaleness, cmp.Or(h.orderDuration, known.Order())
	}
	for _, r := range runners {
		load := h.fleet.Inflight(r.Life())
		in.Inflight[r.ID], in.LongRuns[r.ID] = load.Inflight, load.Long
		in.StaleFor[r.ID] = h.fleet.BehindFor(model, r.Weights[model], now)
	}
	return in
}

func (h *Controller) startOrder(ctx context.Context, t Decision, model string, desired int64) {
	r := t.Runner
	h.mu.Lock()
	h.inProgress[r.ID] = activeOrder{life: r.Life(), since: time.Now()}
	h.mu.Unlock()
	go func() {
		h.updateRunner(ctx, t, model, desired)
		h.mu.Lock()
		if h.inProgress[r.ID].life == r.Life() {
			delete(h.inProgress, r.ID)
		}
		h.mu.Unlock()
		h.Wake()
	}()
}

// Figures of one runner's change.
const (
	// firstPollDelay is when a runner is first asked whether its order has ended:
	// the shortest load. pollEvery is the pause between further questions.
	firstPollDelay = 450 * time.Millisecond
	pollInterval   = 150 * time.Millisecond
	// orderTimeout is after how long an order counts as lost.
	orderTimeout = 6 * time.Second
	// busyDuration is for how long a question's answer keeps new requests away.
	busyDuration = 700 * time.Millisecond
)

// updateRunner brings one runner to the desired weights, or gives up so that the next
// look decides anew.
func (h *Controller) updateRunner(ctx context.Context, t Decision, model string, desired int64) {
	r, start := t.Runner, time.Now()
	truncate := h.prepareTruncation(ctx, t)
	drainTime, remaining := time.Since(start), h.fleet.Inflight(r.Life())
	report, err := h.client.Report(ctx, r)
	if errors.Is(err, fleet.ErrOtherRunner) {
		h.fleet.Ended(r.Life())
	}
	if err != nil {
		h.logEvent("report_failed", r, model, desired).WithError(err).Warn("the runner can't be asked; it is tried again")
		clock.Sleep(ctx, pollInterval)
		return
	}
	if !h.checkLife(r, report) {
		h.logEvent("report_other_life", r, model, desired).WithField("reported", report.Born).Warn("another life of the runner answered; what becomes of it is decided anew")
		clock.Sleep(ctx, pollInterval)
		return
	}
	if report.Born != 0 {
		r.Born = report.Born
	}
	h.fleet.Learn(r.Life(), model, report.Weights[model], time.Now())
	if report.Weights[model] >= desired {
		return
	}
	if report.Busy {
		clock.Sleep(ctx, pollInterval)
		return
	}
	// The office is looked at last before the order leaves: a process that
	// slept since must not order after another took over.
	fence, ok := h.leadership.Held()
	if !ok {
		return
	}
	// A later life counts its orders from nothing: by the count of a former one
	// an order may be carried out that was not meant for it, or a newer one refused.
	if !h.fleet.Holds(r.Life()) {
		return
	}
	result, err := h.sendOrder(ctx, fleet.Order{Runner: r, Model: model, Weights: desired, Holder: h.name, Fence: fence, Orders: report.Orders, Truncate: truncate})
	h.logEvent("order", r, model, desired).WithFields(logrus.Fields{"result": result, "fence": fence, "orders": report.Orders, "truncate": truncate, "cleared_ms": drainTime.Milliseconds(), "inflight": remaining.Inflight, "resumable": remaining.Resumable, "long": remaining.Long}).WithError(err).Info("order given")
	switch result {
	case fleet.OrderHolds:
		h.fleet.Learn(r.Life(), model, desired, time.Now())
	case fleet.OrderMisdirected:
		// Another runner has the address: this one has ended, whatever the list says.
		h.fleet.Ended(r.Life())
	case fleet.OrderAccepted:
		if h.awaitLoad(ctx, r, model, desired) {
			h.recordDuration(time.Since(start))
		}
	default:
		clock.Sleep(ctx, pollInterval)
	}
}

// Figures of cutting long runs off.
const (
	// drainCheckInterval is how long a runner is kept free of new requests before its long
	// runs are cut off: until the others heard of it, and short runs end.
	drainCheckInterval = 300 * time.Millisecond
	// drainChecks is how often that is waited for before the runs are left to end.
	drainChecks = 4
	// urgentDrainChecks is the same where the runner's time is short: the runs that can't
	// go on elsewhere are mostly short ones that end within 3.6 s, and left to end the
	// long ones keep the runner for longer than that.
	urgentDrainChecks = 12
)

// prepareTruncation prepares a runner that has only long runs left, and reports whether
// these may be cut off: each must be one that goes on at another runner, after
// its last event. Left to end, the last of them keep a runner of forty or sixty
// slots out of service for four to six seconds.
func (h *Controller) prepareTruncation(ctx context.Context, t Decision) bool {
	r, checks := t.Runner, drainChecks
	if t.Urgent {
		checks = urgentDrainChecks
	}
	if h.fleet.Inflight(r.Life()).Long == 0 || h.truncationDisabled.Load() || h.fleet.Off(policy.Truncation) {
		return false
	}
	for range checks {
		h.fleet.Busy(r.Life(), time.Now().Add(busyDuration))
		h.notify()
		clock.Sleep(ctx, drainCheckInterval)
		if load := h.fleet.Inflight(r.Life()); load.Inflight == load.Resumable {
			return load.Inflight > 0
		}
	}
	return false
}

// sendOrder gives an order, within the time of the office: one that is held up on its way, by
// a slow link or a connection that takes its time, must not arrive beside those of the
// next holder.
func (h *Controller) sendOrder(ctx context.Context, o fleet.Order) (fleet.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, h.leadership.Remaining())
	defer cancel()
	return h.client.Order(ctx, o)
}

// durationSmoothing is the part of the difference by which one order moves what one takes: the
// last ten or so tell how long runs last by now.
const durationSmoothing = 0.1

func (h *Controller) recordDuration(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.orderDuration == 0 {
		h.orderDuration = d
	}
	h.orderDuration += time.Duration(durationSmoothing * float64(d-h.orderDuration))
}

// awaitLoad waits for the end of an order, asking the runner, and reports whether the
// runner has its weights.
func (h *Controller) awaitLoad(ctx context.Context, r fleet.Runner, model string, desired int64) bool {
	start := time.Now()
	h.fleet.Busy(r.Life(), start.Add(busyDuration))
	h.notify()
	clock.Sleep(ctx, firstPollDelay)
	for ctx.Err() == nil && time.Since(start) < orderTimeout && h.fleet.Live(r.Life()) {
		report, err := h.client.Report(ctx, r)
		if err == nil && !h.checkLife(r, report) {
			// The order ended with the life that took it; the load that the later
			// one may do tells nothing of how long this one's took.
			return false
		}
		if err == nil && report.Weights[model] >= desired {
			h.fleet.Learn(r.Life(), model, desired, time.Now())
			h.notify()
			h.fleet.WeightsLoaded(r.Service, time.Since(start))
			h.logEvent("loaded", r, model, desired).WithField("took_ms", time.Since(start).Milliseconds()).Info("the runner has its weights")
			return true
		}
		if err == nil && !report.Busy {
			return false
		}
		h.fleet.Busy(r.Life(), time.Now().Add(busyDuration))
		clock.Sleep(ctx, pollInterval)
	}
	return false
}

// checkLife checkLife whether a report is of the life of a runner that was asked for.
// A later one ends that life, and what it says is taken; a former one says nothing.
func (h *Controller) checkLife(r fleet.Runner, report fleet.Report) bool {
	life := fleet.Life{ID: r.ID, Born: report.Born}
	if !h.fleet.Hear(life) {
		return false
	}
	if life.Same(r.Life()) {
		return true
	}
	for model, version := range report.Weights {
		h.fleet.Learn(life, model, version, time.Now())
	}
	return false
}

func (h *Controller) logEvent(name string, r fleet.Runner, model string, desired int64) *logrus.Entry {
	return h.log.WithFields(logrus.Fields{"event": name, "runner": r.ID, "born": r.Born, "model": model, "weights": desired})
}
