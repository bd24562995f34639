package agent

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"acaciakeel/api/keel/v1/keelv1connect"
	"acaciakeel/configsync"
	"acaciakeel/ledger"
	"acaciakeel/link"
	"acaciakeel/placement"
	"acaciakeel/platform"
	"acaciakeel/settings"
	"acaciakeel/store"
	"acaciakeel/target"
	"acaciakeel/telemetry"
	"acaciakeel/vm"
)

// Agent is the process that runs beside one target. It has either a runner, for an
// engine, or an executor, for a plain service.
type Agent struct {
	settings    Settings
	log         *logrus.Entry
	registry    *prometheus.Registry
	metrics     *metrics
	store       store.Store
	follower    *configsync.Follower
	config      *configsync.Server
	links       *link.Pool
	runner      *runner
	executor    *callExecutor
	incarnation string
	endpoints   endpoints

	// homeMu guards homeTargets, the configured targets of this agent's service, and
	// homeSince, the time at which this process first saw that set of targets.
	homeMu      sync.Mutex
	homeTargets []string
	homeSince   time.Time
}

// New returns an agent; Run starts it.
func New(s Settings, log *logrus.Logger) *Agent {
	a := &Agent{
		settings:    s,
		log:         log.WithField("target", s.Target.Name),
		registry:    telemetry.NewRegistry(),
		links:       link.NewPool(link.Options{}),
		incarnation: uuid.NewString(),
	}
	a.metrics = newMetrics(a.registry)
	client := platform.NewStore(s.Platform.URL)
	a.store = client
	a.follower = configsync.NewFollower(configsync.Config{
		Self:       s.Self.VM(vm.Agent),
		Neighbours: s.Platform.Neighbours,
		Store:      client,
		Directory:  store.NewVMList(s.Platform.URL),
		Links:      a.links,
		OnEvent:    a.recordConfigEvent,
	})
	a.config = configsync.NewServer(a.follower)
	if s.Target.Kind == KindEngine {
		a.runner = newRunner(s, target.NewEngine(s.Target.URL), a.metrics)
	} else {
		a.executor = a.newCallExecutor(client)
	}
	a.endpoints = a.newEndpoints()
	a.registerGauges()
	return a
}

func (a *Agent) newCallExecutor(store store.Store) *callExecutor {
	l := a.settings.Ledger
	return &callExecutor{
		service: target.NewService(a.settings.Target.URL),
		claims: &claimStore{
			store: store,
			self:  claim{Target: a.settings.Target.Name, Incarnation: a.incarnation},
			ttl:   seconds(l.ClaimTTLS),
		},
		started:     time.Now(),
		margin:      settings.Millis(l.ClockMarginMS),
		incarnation: a.incarnation,
		slots:       a.settings.Queue.Slots,
		metrics:     a.metrics,
		homeStatus:  a.homeStatus,
		ledger:      ledger.New(l.limits()),
	}
}

// homeStatus reports whether this target ranks first for a call's key among the
// configured targets of its service, and since when this process has seen that set of
// targets.
func (a *Agent) homeStatus(k ledger.Key) (bool, time.Time) {
	a.homeMu.Lock()
	defer a.homeMu.Unlock()
	if len(a.homeTargets) == 0 {
		return false, a.homeSince
	}
	return placement.RankTargets(a.homeTargets, k.IdempotencyKey)[0] == a.settings.Target.Name, a.homeSince
}

// watchServiceTargets updates homeTargets, and the history that claims are in, whenever the
// configuration changes.
func (a *Agent) watchServiceTargets(ctx context.Context) {
	for {
		changed := a.follower.Changed()
		snapshot := a.follower.State().Snapshot
		a.executor.noticeHistory(store.Position(snapshot.Revision).History(), snapshot.ReplacedAt)
		a.setHomeTargets(snapshot.TargetsOfService(snapshot.Targets[a.settings.Target.Name].Service))
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) setHomeTargets(targets []string) {
	a.homeMu.Lock()
	defer a.homeMu.Unlock()
	if slices.Equal(targets, a.homeTargets) {
		return
	}
	a.homeTargets = targets
	a.homeSince = time.Now()
}

func (a *Agent) recordConfigEvent(event string, err error) {
	a.metrics.configEvents.WithLabelValues(event).Inc()
	log := a.log.WithError(err).WithField("event", event)
	if event == configsync.EventHistoryReplaced {
		log.Warn("the platform's service was restored from an older copy")
		return
	}
	log.Debug("failed to update the configuration")
}

func (a *Agent) registerGauges() {
	telemetry.NewGaugeFunc(a.registry, "keel_agent_config_revision", "Revision of the configuration in force.", func() float64 {
		return float64(store.Position(a.follower.Revision()).Revision())
	})
	telemetry.NewGaugeFunc(a.registry, "keel_agent_config_history", "Number of the history that the revision belongs to: how often the platform's service was restored from an older copy.", func() float64 {
		return float64(store.Position(a.follower.Revision()).History())
	})
	telemetry.NewGaugeFunc(a.registry, "keel_agent_active", "Requests that wait, run or are being read.", func() float64 {
		return float64(a.active())
	})
	if a.runner == nil {
		return
	}
	telemetry.NewGaugeFunc(a.registry, "keel_agent_queue_length", "Requests that wait for the engine.", func() float64 {
		a.runner.mu.Lock()
		defer a.runner.mu.Unlock()
		return float64(a.runner.queue.Len())
	})
	telemetry.NewGaugeFunc(a.registry, "keel_agent_prefill_rate", "Measured prefill rate, tokens a second.", func() float64 {
		a.runner.mu.Lock()
		defer a.runner.mu.Unlock()
		return a.runner.estimator.rate
	})
	telemetry.NewGaugeFunc(a.registry, "keel_agent_cache_lifetime_seconds", "How long cached blocks last after their last use; 0 while none is evicted.", func() float64 {
		a.runner.mu.Lock()
		defer a.runner.mu.Unlock()
		return a.runner.cache.view.Lifetime() / 1000
	})
	telemetry.NewGaugeFunc(a.registry, "keel_agent_cache_blocks", "Blocks in the view of the engine's cache.", func() float64 {
		a.runner.mu.Lock()
		defer a.runner.mu.Unlock()
		return float64(a.runner.cache.view.Len())
	})
}

// Handler serves the agent's RPCs, /metrics, /healthz and /readyz.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(keelv1connect.NewAgentServiceHandler(a))
	mux.Handle(a.config.Handler())
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", a.serveReady)
	return mux
}

func (a *Agent) serveReady(w http.ResponseWriter, _ *http.Request) {
	if a.follower.Revision() == 0 {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	if a.runner != nil && !a.runner.engineUp() {
		http.Error(w, "the engine does not answer", http.StatusServiceUnavailable)
	}
}

// Run runs the agent until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	go a.follower.Run(ctx)
	if a.runner != nil {
		go (&orderController{agent: a, store: a.store}).run(ctx)
		go a.runner.watchCache(ctx)
		a.runner.watchLoad(ctx)
		return
	}
	go a.executor.claims.maintainLease(ctx)
	go a.watchServiceTargets(ctx)
	a.sweepCalls(ctx)
}

// sweepInterval is the interval at which the ledger is swept.
const sweepInterval = time.Second

// sweepCalls periodically looks for lost claims, claims the calls that have none and removes
// expired ones from the ledger.
func (a *Agent) sweepCalls(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.executor.verifyClaims(ctx, time.Now())
			a.executor.claimUnclaimed(ctx)
			a.executor.sweep(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) active() int {
	if a.runner != nil {
		return a.runner.active()
	}
	return a.executor.active()
}

// drainInterval is the interval at which Drain checks whether all work has ended.
const drainInterval = 20 * time.Millisecond

// Drain refuses new work with the outcome "not run" and waits until all running work
// has ended and its results have been read, or until ctx ends. It reports whether all
// work ended.
func (a *Agent) Drain(ctx context.Context) bool {
	a.config.Stop()
	if a.runner != nil {
		a.runner.stop()
	} else {
		a.executor.stop()
	}
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for a.active() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
