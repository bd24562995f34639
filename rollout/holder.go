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
	Report(ctx context.Context, of fleet.Target) (fleet.Status, error)
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
	name     string
	office   Leadership
	orderer  RunnerClient
	fleet    *fleet.Fleet
	services ServicesByModel
	log      logrus.FieldLogger
	wake     chan struct{}
	told     func()
	waiting  waiting
	bound    time.Duration

	// blind is set while the others do not tell this process what they send.
	blind atomic.Bool

	mu sync.Mutex
	// underway are the orders that have not ended, by the id of their runner. Once
	// the runner starts again its former life's order no longer counts: the new
	// one would wait for it in vain.
	underway map[string]underway
	// took is what an order takes, from its turn to the end of the load; 0 until one
	// was seen.
	took time.Duration
}

// underway is an order that has not ended: the life of its runner, and since when.
type underway struct {
	life  fleet.Instance
	since time.Time
}

// NewController returns a holder named name, which is the machine's.
func NewController(name string, s Config, log logrus.FieldLogger) *Controller {
	return &Controller{
		name: name, office: s.Leadership, orderer: s.Client, fleet: s.Fleet, services: s.Services, told: s.Notify, bound: s.MaxStaleness, log: log,
		wake: make(chan struct{}, 1), waiting: newWaiting(s.Metrics, log), underway: map[string]underway{},
	}
}

// DisableTruncation has runners end their streams before they load: the others no longer tell
// which streams they have there, and those that can't go on elsewhere would be cut.
func (h *Controller) DisableTruncation() {
	h.blind.Store(true)
}

// Wake makes the holder look at once.
func (h *Controller) Wake() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// lookEvery is how often the holder looks for runners that fell behind without
// news, such as one that came back from an outage.
const lookEvery = 300 * time.Millisecond

// Run gives orders until ctx ends.
func (h *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		if _, ok := h.office.Held(); ok {
			h.look(ctx)
		} else {
			h.waiting.none()
		}
		select {
		case <-h.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (h *Controller) look(ctx context.Context) {
	services := h.services()
	h.waiting.begin()
	for model, desired := range h.fleet.DesiredVersions() {
		var runners []fleet.Target
		for _, service := range services[model] {
			runners = append(runners, h.fleet.Targets(service)...)
		}
		in := h.input(model, desired, runners)
		turns := Turns(in)
		h.waiting.note(in, turns)
		for _, t := range turns {
			if t.Wait == None {
				h.begin(ctx, t, model, desired)
			}
		}
	}
	h.waiting.end()
}

func (h *Controller) input(model string, desired int64, runners []fleet.Target) Input {
	h.mu.Lock()
	defer h.mu.Unlock()
	in := Input{
		Model:    model,
		Desired:  desired,
		Runners:  runners,
		Underway: map[string]time.Duration{},
		Inflight: map[string]int{},
		Long:     map[string]int{},
		Behind:   map[string]time.Duration{},
	}
	now := time.Now()
	for id, u := range h.underway {
		if h.fleet.IsCurrent(u.life) {
			in.Underway[id] = now.Sub(u.since)
		}
	}
	if len(runners) > 0 {
		known := h.fleet.WeightLoads(runners[0].Service)
		in.AtOnce = known.MaxConcurrent(len(runners))
		in.Bound, in.Each = h.bound, cmp.Or(h.took, known.OrderDuration())
	}
	for _, r := range runners {
		load := h.fleet.Occupancy(r.Instance())
		in.Inflight[r.ID], in.Long[r.ID] = load.Inflight, load.Long
		in.Behind[r.ID] = h.fleet.StaleFor(model, r.Weights[model], now)
	}
	return in
}

func (h *Controller) begin(ctx context.Context, t Turn, model string, desired int64) {
	r := t.Runner
	h.mu.Lock()
	h.underway[r.ID] = underway{life: r.Instance(), since: time.Now()}
	h.mu.Unlock()
	go func() {
		h.bring(ctx, t, model, desired)
		h.mu.Lock()
		if h.underway[r.ID].life == r.Instance() {
			delete(h.underway, r.ID)
		}
		h.mu.Unlock()
		h.Wake()
	}()
}

// Figures of one runner's change.
const (
	// pollFirst is when a runner is first asked whether its order has ended:
	// the shortest load. pollEvery is the pause between further questions.
	pollFirst = 450 * time.Millisecond
	pollEvery = 150 * time.Millisecond
	// longestOrder is after how long an order counts as lost.
	longestOrder = 6 * time.Second
	// busyGuard is for how long a question's answer keeps new requests away.
	busyGuard = 700 * time.Millisecond
)

// bring brings one runner to the desired weights, or gives up so that the next
// look decides anew.
func (h *Controller) bring(ctx context.Context, t Turn, model string, desired int64) {
	r, began := t.Runner, time.Now()
	truncate := h.clear(ctx, t)
	cleared, left := time.Since(began), h.fleet.Occupancy(r.Instance())
	report, err := h.orderer.Report(ctx, r)
	if errors.Is(err, fleet.ErrTargetReplaced) {
		h.fleet.RecordEnd(r.Instance())
	}
	if err != nil {
		h.event("report_failed", r, model, desired).WithError(err).Warn("the runner can't be asked; it is tried again")
		clock.Sleep(ctx, pollEvery)
		return
	}
	if !h.reports(r, report) {
		h.event("report_other_life", r, model, desired).WithField("reported", report.Born).Warn("another life of the runner answered; what becomes of it is decided anew")
		clock.Sleep(ctx, pollEvery)
		return
	}
	if report.Born != 0 {
		r.Born = report.Born
	}
	h.fleet.RecordWeights(r.Instance(), model, report.Weights[model], time.Now())
	if report.Weights[model] >= desired {
		return
	}
	if report.Busy {
		clock.Sleep(ctx, pollEvery)
		return
	}
	// The office is looked at last before the order leaves: a process that
	// slept since must not order after another took over.
	fence, ok := h.office.Held()
	if !ok {
		return
	}
	// A later life counts its orders from nothing: by the count of a former one
	// an order may be carried out that was not meant for it, or a newer one refused.
	if !h.fleet.IsCurrent(r.Instance()) {
		return
	}
	result, err := h.give(ctx, fleet.Order{Target: r, Model: model, WeightsVersion: desired, Holder: h.name, Fence: fence, ExpectedOrders: report.AcceptedOrders, Truncate: truncate})
	h.event("order", r, model, desired).WithFields(logrus.Fields{"result": result, "fence": fence, "orders": report.AcceptedOrders, "truncate": truncate, "cleared_ms": cleared.Milliseconds(), "inflight": left.Inflight, "resumable": left.Resumable, "long": left.Long}).WithError(err).Info("order given")
	switch result {
	case fleet.OrderAlreadyLoaded:
		h.fleet.RecordWeights(r.Instance(), model, desired, time.Now())
	case fleet.OrderMisdirected:
		// Another runner has the address: this one has ended, whatever the list says.
		h.fleet.RecordEnd(r.Instance())
	case fleet.OrderAccepted:
		if h.await(ctx, r, model, desired) {
			h.tookOne(time.Since(began))
		}
	default:
		clock.Sleep(ctx, pollEvery)
	}
}

// Figures of cutting long runs off.
const (
	// clearFor is how long a runner is kept free of new requests before its long
	// runs are cut off: until the others heard of it, and short runs end.
	clearFor = 300 * time.Millisecond
	// clearTries is how often that is waited for before the runs are left to end.
	clearTries = 4
	// clearTriesShort is the same where the runner's time is short: the runs that can't
	// go on elsewhere are mostly short ones that end within 3.6 s, and left to end the
	// long ones keep the runner for longer than that.
	clearTriesShort = 12
)

// clear prepares a runner that has only long runs left, and reports whether
// these may be cut off: each must be one that goes on at another runner, after
// its last event. Left to end, the last of them keep a runner of forty or sixty
// slots out of service for four to six seconds.
func (h *Controller) clear(ctx context.Context, t Turn) bool {
	r, tries := t.Runner, clearTries
	if t.Short {
		tries = clearTriesShort
	}
	if h.fleet.Occupancy(r.Instance()).Long == 0 || h.blind.Load() || h.fleet.Disabled(policy.Truncation) {
		return false
	}
	for range tries {
		h.fleet.RecordBusy(r.Instance(), time.Now().Add(busyGuard))
		h.told()
		clock.Sleep(ctx, clearFor)
		if load := h.fleet.Occupancy(r.Instance()); load.Inflight == load.Resumable {
			return load.Inflight > 0
		}
	}
	return false
}

// give gives an order, within the time of the office: one that is held up on its way, by
// a slow link or a connection that takes its time, must not arrive beside those of the
// next holder.
func (h *Controller) give(ctx context.Context, o fleet.Order) (fleet.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, h.office.Remaining())
	defer cancel()
	return h.orderer.Order(ctx, o)
}

// tookStep is the part of the difference by which one order moves what one takes: the
// last ten or so tell how long runs last by now.
const tookStep = 0.1

func (h *Controller) tookOne(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.took == 0 {
		h.took = d
	}
	h.took += time.Duration(tookStep * float64(d-h.took))
}

// await waits for the end of an order, asking the runner, and reports whether the
// runner has its weights.
func (h *Controller) await(ctx context.Context, r fleet.Target, model string, desired int64) bool {
	began := time.Now()
	h.fleet.RecordBusy(r.Instance(), began.Add(busyGuard))
	h.told()
	clock.Sleep(ctx, pollFirst)
	for ctx.Err() == nil && time.Since(began) < longestOrder && h.fleet.Available(r.Instance()) {
		report, err := h.orderer.Report(ctx, r)
		if err == nil && !h.reports(r, report) {
			// The order ended with the life that took it; the load that the later
			// one may do tells nothing of how long this one's took.
			return false
		}
		if err == nil && report.Weights[model] >= desired {
			h.fleet.RecordWeights(r.Instance(), model, desired, time.Now())
			h.told()
			h.fleet.RecordWeightLoad(r.Service, time.Since(began))
			h.event("loaded", r, model, desired).WithField("took_ms", time.Since(began).Milliseconds()).Info("the runner has its weights")
			return true
		}
		if err == nil && !report.Busy {
			return false
		}
		h.fleet.RecordBusy(r.Instance(), time.Now().Add(busyGuard))
		clock.Sleep(ctx, pollEvery)
	}
	return false
}

// reports reports whether a report is of the life of a runner that was asked for.
// A later one ends that life, and what it says is taken; a former one says nothing.
func (h *Controller) reports(r fleet.Target, report fleet.Status) bool {
	life := fleet.Instance{ID: r.ID, Born: report.Born}
	if !h.fleet.Observe(life) {
		return false
	}
	if life.Matches(r.Instance()) {
		return true
	}
	for model, version := range report.Weights {
		h.fleet.RecordWeights(life, model, version, time.Now())
	}
	return false
}

func (h *Controller) event(name string, r fleet.Target, model string, desired int64) *logrus.Entry {
	return h.log.WithFields(logrus.Fields{"event": name, "runner": r.ID, "born": r.Born, "model": model, "weights": desired})
}
