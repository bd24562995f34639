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
func NewController(name string, cfg Config, log logrus.FieldLogger) *Controller {
	return &Controller{
		name: name, leadership: cfg.Leadership, client: cfg.Client, fleet: cfg.Fleet, services: cfg.Services, notify: cfg.Notify, maxStaleness: cfg.MaxStaleness, log: log,
		wake: make(chan struct{}, 1), waits: newWaitReporter(cfg.Metrics, log), inProgress: map[string]activeOrder{},
	}
}

// DisableTruncation has runners end their streams before they load: the others no longer tell
// which streams they have there, and those that can't go on elsewhere would be cut.
func (c *Controller) DisableTruncation() {
	c.truncationDisabled.Store(true)
}

// Wake makes the holder look at once.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// reconcileInterval is how often the holder looks for runners that fell behind without
// news, such as one that came back from an outage.
const reconcileInterval = 300 * time.Millisecond

// Run gives orders until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		if _, ok := c.leadership.Held(); ok {
			c.reconcile(ctx)
		} else {
			c.waits.reset()
		}
		select {
		case <-c.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) reconcile(ctx context.Context) {
	services := c.services()
	c.waits.beginPass()
	for model, desired := range c.fleet.Named() {
		var runners []fleet.Runner
		for _, service := range services[model] {
			runners = append(runners, c.fleet.Runners(service)...)
		}
		in := c.planInput(model, desired, runners)
		decisions := Plan(in)
		c.waits.record(in, decisions)
		for _, t := range decisions {
			if t.WaitReason == None {
				c.startOrder(ctx, t, model, desired)
			}
		}
	}
	c.waits.endPass()
}

func (c *Controller) planInput(model string, desired int64, runners []fleet.Runner) Input {
	c.mu.Lock()
	defer c.mu.Unlock()
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
	for id, u := range c.inProgress {
		if c.fleet.Holds(u.life) {
			in.InProgress[id] = now.Sub(u.since)
		}
	}
	if len(runners) > 0 {
		known := c.fleet.Loads(runners[0].Service)
		in.MaxConcurrent = known.MaxConcurrent(len(runners))
		in.MaxStaleness, in.OrderDuration = c.maxStaleness, cmp.Or(c.orderDuration, known.OrderDuration())
	}
	for _, r := range runners {
		load := c.fleet.Inflight(r.Life())
		in.Inflight[r.ID], in.LongRuns[r.ID] = load.Inflight, load.Long
		in.StaleFor[r.ID] = c.fleet.BehindFor(model, r.Weights[model], now)
	}
	return in
}

func (c *Controller) startOrder(ctx context.Context, t Decision, model string, desired int64) {
	r := t.Runner
	c.mu.Lock()
	c.inProgress[r.ID] = activeOrder{life: r.Life(), since: time.Now()}
	c.mu.Unlock()
	go func() {
		c.updateRunner(ctx, t, model, desired)
		c.mu.Lock()
		if c.inProgress[r.ID].life == r.Life() {
			delete(c.inProgress, r.ID)
		}
		c.mu.Unlock()
		c.Wake()
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
func (c *Controller) updateRunner(ctx context.Context, t Decision, model string, desired int64) {
	r, start := t.Runner, time.Now()
	truncate := c.clear(ctx, t)
	drainTime, remaining := time.Since(start), c.fleet.Inflight(r.Life())
	report, err := c.client.Report(ctx, r)
	if errors.Is(err, fleet.ErrOtherRunner) {
		c.fleet.Ended(r.Life())
	}
	if err != nil {
		c.logEvent("report_failed", r, model, desired).WithError(err).Warn("the runner can't be asked; it is tried again")
		clock.Sleep(ctx, pollInterval)
		return
	}
	if !c.checkLife(r, report) {
		c.logEvent("report_other_life", r, model, desired).WithField("reported", report.Born).Warn("another life of the runner answered; what becomes of it is decided anew")
		clock.Sleep(ctx, pollInterval)
		return
	}
	if report.Born != 0 {
		r.Born = report.Born
	}
	c.fleet.Learn(r.Life(), model, report.Weights[model], time.Now())
	if report.Weights[model] >= desired {
		return
	}
	if report.Busy {
		clock.Sleep(ctx, pollInterval)
		return
	}
	// The office is looked at last before the order leaves: a process that
	// slept since must not order after another took over.
	fence, ok := c.leadership.Held()
	if !ok {
		return
	}
	// A later life counts its orders from nothing: by the count of a former one
	// an order may be carried out that was not meant for it, or a newer one refused.
	if !c.fleet.Holds(r.Life()) {
		return
	}
	result, err := c.sendOrder(ctx, fleet.Order{Runner: r, Model: model, Weights: desired, Holder: c.name, Fence: fence, Orders: report.Orders, Truncate: truncate})
	c.logEvent("order", r, model, desired).WithFields(logrus.Fields{"result": result, "fence": fence, "orders": report.Orders, "truncate": truncate, "cleared_ms": drainTime.Milliseconds(), "inflight": remaining.Inflight, "resumable": remaining.Resumable, "long": remaining.Long}).WithError(err).Info("order given")
	switch result {
	case fleet.OrderHolds:
		c.fleet.Learn(r.Life(), model, desired, time.Now())
	case fleet.OrderMisdirected:
		// Another runner has the address: this one has ended, whatever the list says.
		c.fleet.Ended(r.Life())
	case fleet.OrderAccepted:
		if c.awaitLoad(ctx, r, model, desired) {
			c.recordDuration(time.Since(start))
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

// clear prepares a runner that has only long runs left, and reports whether
// these may be cut off: each must be one that goes on at another runner, after
// its last event. Left to end, the last of them keep a runner of forty or sixty
// slots out of service for four to six seconds.
func (c *Controller) clear(ctx context.Context, t Decision) bool {
	r, checks := t.Runner, drainChecks
	if t.Urgent {
		checks = urgentDrainChecks
	}
	if c.fleet.Inflight(r.Life()).Long == 0 || c.truncationDisabled.Load() || c.fleet.Off(policy.Truncation) {
		return false
	}
	for range checks {
		c.fleet.Busy(r.Life(), time.Now().Add(busyDuration))
		c.notify()
		clock.Sleep(ctx, drainCheckInterval)
		if load := c.fleet.Inflight(r.Life()); load.Inflight == load.Resumable {
			return load.Inflight > 0
		}
	}
	return false
}

// sendOrder gives an order, within the time of the office: one that is held up on its way, by
// a slow link or a connection that takes its time, must not arrive beside those of the
// next holder.
func (c *Controller) sendOrder(ctx context.Context, o fleet.Order) (fleet.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.leadership.Remaining())
	defer cancel()
	return c.client.Order(ctx, o)
}

// durationSmoothing is the part of the difference by which one order moves what one takes: the
// last ten or so tell how long runs last by now.
const durationSmoothing = 0.1

func (c *Controller) recordDuration(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.orderDuration == 0 {
		c.orderDuration = d
	}
	c.orderDuration += time.Duration(durationSmoothing * float64(d-c.orderDuration))
}

// awaitLoad waits for the end of an order, asking the runner, and reports whether the
// runner has its weights.
func (c *Controller) awaitLoad(ctx context.Context, r fleet.Runner, model string, desired int64) bool {
	start := time.Now()
	c.fleet.Busy(r.Life(), start.Add(busyDuration))
	c.notify()
	clock.Sleep(ctx, firstPollDelay)
	for ctx.Err() == nil && time.Since(start) < orderTimeout && c.fleet.Live(r.Life()) {
		report, err := c.client.Report(ctx, r)
		if err == nil && !c.checkLife(r, report) {
			// The order ended with the life that took it; the load that the later
			// one may do tells nothing of how long this one's took.
			return false
		}
		if err == nil && report.Weights[model] >= desired {
			c.fleet.Learn(r.Life(), model, desired, time.Now())
			c.notify()
			c.fleet.WeightsLoaded(r.Service, time.Since(start))
			c.logEvent("loaded", r, model, desired).WithField("took_ms", time.Since(start).Milliseconds()).Info("the runner has its weights")
			return true
		}
		if err == nil && !report.Busy {
			return false
		}
		c.fleet.Busy(r.Life(), time.Now().Add(busyDuration))
		clock.Sleep(ctx, pollInterval)
	}
	return false
}

// checkLife checkLife whether a report is of the life of a runner that was asked for.
// A later one ends that life, and what it says is taken; a former one says nothing.
func (c *Controller) checkLife(r fleet.Runner, report fleet.Report) bool {
	life := fleet.Life{ID: r.ID, Born: report.Born}
	if !c.fleet.Hear(life) {
		return false
	}
	if life.Same(r.Life()) {
		return true
	}
	for model, version := range report.Weights {
		c.fleet.Learn(life, model, version, time.Now())
	}
	return false
}

func (c *Controller) logEvent(name string, r fleet.Runner, model string, desired int64) *logrus.Entry {
	return c.log.WithFields(logrus.Fields{"event": name, "runner": r.ID, "born": r.Born, "model": model, "weights": desired})
}
