package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"acaciakeel/configsync"
	"acaciakeel/httpbody"
	"acaciakeel/link"
	"acaciakeel/platform"
	"acaciakeel/refusal"
	"acaciakeel/store"
	"acaciakeel/telemetry"
	"acaciakeel/vm"
)

// Entry serves the HTTP requests of clients and operators.
type Entry struct {
	settings     Settings
	log          *logrus.Entry
	registry     *prometheus.Registry
	metrics      *metrics
	store        store.Store
	follower     *configsync.Follower
	configServer *configsync.Server
	links        *link.Pool
	table        atomic.Pointer[routingTable]
	health       *healthTable
	contracts    *contracts
	retryBudgets *retryBudgets
	incarnations *incarnationCache
	// bodies bounds the memory of the requests' bodies.
	bodies   *httpbody.Budget
	rollouts *rolloutTracker
	stopping atomic.Bool
	// stopDeadline is when the last requests must have ended; nil before the notice of a stop is over.
	stopDeadline atomic.Pointer[time.Time]
	// configured is closed when the first configuration is applied, stopped when
	// waiting watch requests must end.
	configured chan struct{}
	stopped    chan struct{}
}

// New returns an entry. Run starts it.
func New(s Settings, log *logrus.Logger) *Entry {
	e := &Entry{
		settings:     s,
		log:          log.WithField("entry", s.Self.Name),
		registry:     telemetry.NewRegistry(),
		links:        link.NewPool(link.Options{}),
		health:       newHealthTable(),
		contracts:    newContracts(),
		retryBudgets: newRetryBudgets(s.Routing.RetryRatio),
		incarnations: newIncarnationCache(),
		bodies:       httpbody.NewBudget(s.Limits.bodyMemory()),
		rollouts:     newRolloutTracker(),
		configured:   make(chan struct{}),
		stopped:      make(chan struct{}),
	}
	e.metrics = newMetrics(e.registry)
	client := platform.NewStore(s.Platform.URL)
	e.store = client
	e.follower = configsync.NewFollower(configsync.Config{
		Self:       s.Self.VM(vm.Entry),
		Neighbours: s.Platform.Neighbours,
		Store:      client,
		Directory:  store.NewVMList(s.Platform.URL),
		Links:      e.links,
		OnEvent:    e.onConfigEvent,
	})
	e.configServer = configsync.NewServer(e.follower)
	e.table.Store(newRoutingTable(e.follower.State()))
	e.registerGauges()
	return e
}

func (e *Entry) onConfigEvent(event string, err error) {
	e.metrics.configEvents.WithLabelValues(event).Inc()
	e.logConfigEvent(event, err)
}

func (e *Entry) registerGauges() {
	telemetry.NewGaugeFunc(e.registry, "keel_entry_config_revision", "Revision of the configuration in force.", func() float64 {
		return float64(store.Position(e.follower.Revision()).Revision())
	})
	telemetry.NewGaugeFunc(e.registry, "keel_entry_config_history", "Number of the history that the revision belongs to: how often the platform's service was restored from an older copy.", func() float64 {
		return float64(historyOf(e.follower.Revision()))
	})
	telemetry.NewGaugeFunc(e.registry, "keel_entry_request_bytes_held", "Bytes of requests' bodies that are held.", func() float64 {
		return float64(e.bodies.Held())
	})
	telemetry.NewGaugeFunc(e.registry, "keel_entry_link_bytes", "Bytes on the wire to and from the system's own processes.", func() float64 {
		sent, received := e.links.Bytes()
		return float64(sent + received)
	})
}

// Run applies each new configuration state until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	go e.follower.Run(ctx)
	for {
		changed := e.follower.Changed()
		e.applyState()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// applyState replaces the routing table with one built from the current state.
func (e *Entry) applyState() {
	t := newRoutingTable(e.follower.State())
	old := e.table.Swap(t)
	if old.snapshot().Revision == 0 && t.snapshot().Revision > 0 {
		close(e.configured)
	}
	e.contracts.setEntryCount(t.state.Count(vm.Entry))
	e.health.retain(t.agentURL)
	if old.snapshot().Revision != t.snapshot().Revision {
		e.log.WithFields(logrus.Fields{
			"event":    "config_applied",
			"revision": t.snapshot().Revision,
			"targets":  len(t.agentURL),
		}).Info("configuration applied")
	}
}

// Handler serves the client API, the operator API, the configuration service of
// other processes, /metrics, /healthz and /readyz.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", e.customerHandler("chat", e.completionEndpoint, decodeChat, e.encodeCompletion))
	mux.Handle("POST /v1/completions", e.customerHandler("completion", e.completionEndpoint, decodeText, e.encodeCompletion))
	mux.Handle("GET /v1/models", e.customerHandler("models", e.modelsEndpoint, decodeNothing, encodeJSON))
	mux.Handle("/services/{service}/{path...}", e.customerHandler("call", e.callEndpoint, decodeCall, encodeCall))
	mux.Handle(e.configServer.Handler())
	e.addOperatorRoutes(mux)
	mux.Handle("GET /metrics", promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", e.serveReady)
	return mux
}

// configTimeout limits how long a request waits for the first configuration.
const configTimeout = 3 * time.Second

// awaitConfig waits until the entry has a configuration. Before that the entry knows
// no customers and would wrongly reject valid keys. Waiting also lets a restarted
// entry accept requests immediately.
func (e *Entry) awaitConfig(ctx context.Context) error {
	select {
	case <-e.configured:
		return nil
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	select {
	case <-e.configured:
		return nil
	case <-ctx.Done():
		return refusal.New(refusal.TargetNotReady, "send to another entry, or come back after the time in Retry-After", "this entry has no configuration yet").WithRetryAfter(time.Second)
	}
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case e.follower.Revision() == 0:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	}
}

// shutdownNotice is how long an entry keeps serving after /readyz starts to fail, so
// that the load balancer stops sending requests before the listener closes.
const shutdownNotice = 2 * time.Second

// AnnounceShutdown makes /readyz fail, waits until the load balancer has had time to
// notice, and then ends the pending watch requests and configuration long polls.
// Requests are served meanwhile. It must be called only once.
func (e *Entry) AnnounceShutdown(ctx context.Context) {
	e.stopping.Store(true)
	select {
	case <-time.After(shutdownNotice):
	case <-ctx.Done():
	}
	if deadline, ok := ctx.Deadline(); ok {
		e.stopDeadline.Store(&deadline)
	}
	// End the requests that only wait for configuration changes.
	close(e.stopped)
	e.configServer.Stop()
}
