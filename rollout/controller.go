package rollout

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/fleet"
)

// RunnerClient sends calls to runners.
type RunnerClient interface {
	// Report returns the state of a runner.
	Report(ctx context.Context, of fleet.Target) (fleet.Status, error)
	// Order sends a load order to its runner.
	Order(ctx context.Context, o fleet.Order) (fleet.OrderResult, error)
}

// Leadership tells whether this process may send orders now, and with which fencing
// token.
type Leadership interface {
	// Held reports whether this process holds the leadership by what it knows.
	Held() (fence int64, ok bool)
	// Remaining returns for how long the leadership lasts at least, as far as it has been
	// confirmed. Orders may arrive only until then.
	Remaining() time.Duration
	// Confirm has Remaining be long enough for orders, if the leadership lasts.
	Confirm(ctx context.Context)
}

// ServicesByModel returns the services that run each model.
type ServicesByModel func() map[string][]string

// Config configures a Controller.
type Config struct {
	Leadership Leadership
	Client     RunnerClient
	Fleet      *fleet.Fleet
	Services   ServicesByModel
	// Notify is called after a change that the other nodes need at once: until they
	// know of it, they send requests to a runner that refuses them.
	Notify  func()
	Metrics *Metrics
	// MaxStaleness is how long after a newer version became desired a runner still gets
	// requests.
	MaxStaleness time.Duration
	// OrderTransit is for how long after it was sent an order without an answer may still arrive at
	// its runner.
	OrderTransit time.Duration
}

// Controller sends load orders to runners while this process is the leader: orders to load
// the desired version of a model's weights, a limited number of runners at a time.
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
	outstanding  *outstandingOrders
	// targets returns the runners of a service. Tests replace it.
	targets func(service string) []fleet.Target
	metrics *Metrics

	// truncationDisabled is set once the other nodes no longer report to this process
	// which requests they have at runners.
	truncationDisabled atomic.Bool

	mu sync.Mutex
	// inProgress holds the orders that have not ended, by runner ID. When a runner
	// restarts, the order of its earlier instance no longer counts; otherwise the
	// restarted runner would never get an order.
	inProgress map[string]activeOrder
	contacts   contacts
	// orderDuration is the smoothed time from planning an order to the end of the load;
	// 0 until the first order has completed.
	orderDuration time.Duration
}

// activeOrder is an order that has not ended: the instance of its runner, and when the
// order was planned.
type activeOrder struct {
	instance fleet.Instance
	since    time.Time
}

// NewController returns a controller. name is the name of the VM and is sent with each
// order.
func NewController(name string, cfg Config, log logrus.FieldLogger) *Controller {
	return &Controller{
		name: name, leadership: cfg.Leadership, client: cfg.Client, fleet: cfg.Fleet, services: cfg.Services, notify: cfg.Notify, maxStaleness: cfg.MaxStaleness, log: log,
		wake: make(chan struct{}, 1), waits: newWaitReporter(cfg.Metrics, log), inProgress: map[string]activeOrder{}, contacts: newContacts(),
		outstanding: newOutstandingOrders(cfg.OrderTransit), targets: cfg.Fleet.Targets, metrics: cfg.Metrics,
	}
}

// DisableTruncation makes runners finish their streams before they load weights. It is
// called when the other nodes no longer report their streams to this process: streams
// that cannot be resumed elsewhere would be cut off.
func (c *Controller) DisableTruncation() {
	c.truncationDisabled.Store(true)
}

// Wake triggers a reconciliation without waiting for the interval.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// reconcileInterval is how often the controller checks for stale runners of which it
// was not notified, such as one that came back after an outage.
const reconcileInterval = 300 * time.Millisecond

// Run sends orders until ctx ends.
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
	c.mu.Lock()
	c.contacts.prune(c.fleet.IsCurrent)
	c.mu.Unlock()
	c.waits.beginPass()
	for model, desired := range c.fleet.DesiredVersions() {
		in := c.planInput(model, desired, services[model])
		decisions := Plan(in)
		c.waits.record(in, decisions)
		for _, decision := range decisions {
			switch decision.WaitReason {
			case None:
				c.startOrder(ctx, decision, model, desired)
			case Unresponsive:
				c.startCheck(ctx, decision.Runner, model, desired)
			}
		}
	}
	c.waits.endPass()
}

func (c *Controller) planInput(model string, desired int64, services []string) Input {
	// An order records its runner's weights before it ends. Read in this order, a runner
	// whose order ends in between counts as in progress; in the other order it would be
	// stale without an order, and get a second one.
	orders := c.ordersInProgress()
	var runners []fleet.Target
	for _, service := range services {
		runners = append(runners, c.targets(service)...)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	in := Input{
		Model:        model,
		Desired:      desired,
		Runners:      runners,
		Unresponsive: map[string]bool{},
		InProgress:   map[string]time.Duration{},
		Inflight:     map[string]int{},
		LongRuns:     map[string]int{},
		StaleFor:     map[string]time.Duration{},
	}
	now := time.Now()
	for id, u := range orders {
		if c.fleet.IsCurrent(u.instance) {
			in.InProgress[id] = now.Sub(u.since)
		}
	}
	for _, r := range runners {
		if c.contacts.unresponsive(r.Instance(), c.fleet.Unresponsive(r.ID), now) {
			in.Unresponsive[r.ID] = true
		}
	}
	if len(runners) > 0 {
		loads := c.fleet.WeightLoads(runners[0].Service)
		in.MaxConcurrent = loads.MaxConcurrent(in.responsiveCount())
		in.MaxStaleness, in.OrderDuration = c.maxStaleness, cmp.Or(c.orderDuration, loads.OrderDuration())
	}
	for _, r := range runners {
		load := c.fleet.Occupancy(r.Instance())
		in.Inflight[r.ID], in.LongRuns[r.ID] = load.Inflight, load.Long
		in.StaleFor[r.ID] = c.fleet.StaleFor(model, r.Weights[model], now)
	}
	return in
}

func (c *Controller) ordersInProgress() map[string]activeOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.inProgress)
}

func (c *Controller) startOrder(ctx context.Context, decision Decision, model string, desired int64) {
	r := decision.Runner
	c.mu.Lock()
	c.inProgress[r.ID] = activeOrder{instance: r.Instance(), since: time.Now()}
	c.mu.Unlock()
	go func() {
		c.updateRunner(ctx, decision, model, desired)
		c.mu.Lock()
		if c.inProgress[r.ID].instance == r.Instance() {
			delete(c.inProgress, r.ID)
		}
		c.mu.Unlock()
		c.Wake()
	}()
}

// startCheck asks an unresponsive runner for its report, without a slot, if it is due.
// Once it responds, the next plan treats it like the others.
func (c *Controller) startCheck(ctx context.Context, r fleet.Target, model string, desired int64) {
	c.mu.Lock()
	due := c.contacts.startCheck(r.Instance(), time.Now())
	c.mu.Unlock()
	if !due {
		return
	}
	go func() {
		_, err := c.report(ctx, r, model, desired)
		c.mu.Lock()
		c.contacts.endCheck(r.Instance())
		c.mu.Unlock()
		if err == nil {
			c.Wake()
		}
	}()
}

// report returns the state of a runner, and records whether it responded.
func (c *Controller) report(ctx context.Context, r fleet.Target, model string, desired int64) (fleet.Status, error) {
	reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	askedAt := time.Now()
	report, err := c.client.Report(reportCtx, r)
	report.Born, report.AskedAt = fleet.KnownStart(report.Born, askedAt), askedAt
	if errors.Is(err, fleet.ErrTargetReplaced) {
		c.fleet.SuspectReplaced(r.Instance(), time.Now())
	}
	switch {
	case err == nil:
		c.fleet.RecordResponse(r.Instance(), time.Now())
		c.mu.Lock()
		failingFor, recovered := c.contacts.recordAnswer(r.Instance(), time.Now())
		c.mu.Unlock()
		if recovered {
			c.logEvent("report_resumed", r, model, desired).WithField("failing_ms", failingFor.Milliseconds()).Info("the runner responds again and is planned for")
		}
	case ctx.Err() == nil:
		c.mu.Lock()
		first := c.contacts.recordFailure(r.Instance(), time.Now())
		c.mu.Unlock()
		if first {
			c.logEvent("report_failed", r, model, desired).WithError(err).Warn("failed to get the state of the runner; it takes no slot until it responds")
		}
	}
	return report, err
}

// Timing of one runner's update.
const (
	// firstPollDelay is the time from sending an order to the first poll of the runner:
	// no load takes less. pollInterval is the pause between polls.
	firstPollDelay = 450 * time.Millisecond
	pollInterval   = 150 * time.Millisecond
	// orderTimeout is the time after which an order is considered lost.
	orderTimeout = 6 * time.Second
	// busyDuration is how long new requests are kept away from a runner each time that
	// it is marked busy.
	busyDuration = 700 * time.Millisecond
)

// updateRunner brings one runner to the desired weights. If that fails, it returns, and
// the next reconciliation plans again.
func (c *Controller) updateRunner(ctx context.Context, decision Decision, model string, desired int64) {
	r, start := decision.Runner, time.Now()
	if c.mayTruncate(r) {
		// Clearing takes up to 3.6 s, for which a runner that does not respond would keep
		// its slot.
		if _, err := c.report(ctx, r, model, desired); err != nil {
			return
		}
	}
	truncate := c.clear(ctx, decision)
	drainTime, remaining := time.Since(start), c.fleet.Occupancy(r.Instance())
	report, err := c.report(ctx, r, model, desired)
	if err != nil {
		return
	}
	if !c.checkInstance(r, report) {
		c.logEvent("report_other_life", r, model, desired).WithField("reported", report.Born).Warn("report is of another instance of the runner; planning again")
		clock.Sleep(ctx, pollInterval)
		return
	}
	if report.Born != 0 {
		r.Born = report.Born
	}
	c.fleet.RecordAnsweredWeights(r.Instance(), model, report.Weights[model], report.AskedAt, time.Now())
	if report.Weights[model] >= desired {
		return
	}
	if report.Busy {
		clock.Sleep(ctx, pollInterval)
		return
	}
	c.leadership.Confirm(ctx)
	// Leadership is checked immediately before the order is sent: a process that was
	// suspended in the meantime must not send orders after another one has taken over.
	fence, ok := c.leadership.Held()
	if !ok {
		return
	}
	// A restarted runner counts its orders from zero. With the count of the earlier
	// instance, it could carry out an order that was not meant for it, or refuse a
	// newer one.
	if !c.fleet.IsCurrent(r.Instance()) {
		return
	}
	if !c.outstanding.begin(fence, time.Now()) {
		clock.Sleep(ctx, pollInterval)
		return
	}
	leaseLeft, sentAt := c.leadership.Remaining(), time.Now()
	result, err := c.sendOrder(ctx, fleet.Order{Target: r, Model: model, WeightsVersion: desired, Holder: c.name, Fence: fence, ExpectedOrders: report.AcceptedOrders, Truncate: truncate})
	c.outstanding.end(result, time.Now())
	c.metrics.countOrder(result)
	c.logEvent("order", r, model, desired).WithFields(logrus.Fields{"result": result, "fence": fence, "lease_ms": leaseLeft.Milliseconds(), "took_ms": time.Since(sentAt).Milliseconds(), "orders": report.AcceptedOrders, "truncate": truncate, "cleared_ms": drainTime.Milliseconds(), "inflight": remaining.Inflight, "resumable": remaining.Resumable, "long": remaining.Long}).WithError(err).Info("load order ended")
	switch result {
	case fleet.OrderAlreadyLoaded:
		c.fleet.RecordWeights(r.Instance(), model, desired, time.Now())
	case fleet.OrderAccepted:
		if c.awaitLoad(ctx, r, model, desired) {
			c.recordDuration(time.Since(start))
		}
	case fleet.OrderLost, fleet.OrderNotSent, fleet.OrderMisdirected:
		// The order may still be carried out. The next report shows whether it was, and
		// its order count rules out that both are. A refusal in another runner's name need not
		// be that of the order, which it doesn't name.
		if result == fleet.OrderMisdirected {
			c.fleet.SuspectReplaced(r.Instance(), time.Now())
		}
		c.mu.Lock()
		c.contacts.recordFailure(r.Instance(), time.Now())
		c.mu.Unlock()
	default:
		clock.Sleep(ctx, pollInterval)
	}
}

// sendOrder sends an order while the leadership lasts for longer than the order can be on its
// way, whatever happens to this process meanwhile: the next leader's orders must not overtake it.
func (c *Controller) sendOrder(ctx context.Context, o fleet.Order) (fleet.OrderResult, error) {
	// The clock is read first and the leadership checked last: if this process is suspended or
	// the lease replaced in between, the order expires too early rather than too late.
	now := clock.Now()
	remaining := c.leadership.Remaining()
	if fence, held := c.leadership.Held(); !held || fence != o.Fence || remaining <= c.outstanding.transit {
		return fleet.OrderExpired, nil
	}
	o.SendBefore = now.Add(remaining - c.outstanding.transit)
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return c.client.Order(ctx, o)
}

func (c *Controller) logEvent(name string, r fleet.Target, model string, desired int64) *logrus.Entry {
	return c.log.WithFields(logrus.Fields{"event": name, "runner": r.ID, "born": r.Born, "model": model, "weights": desired})
}
