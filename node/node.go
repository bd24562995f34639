package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/door"
	"acaciakeel/fleet"
	"acaciakeel/lease"
	"acaciakeel/peering"
	"acaciakeel/platform"
	"acaciakeel/policy"
	"acaciakeel/quota"
	"acaciakeel/rollout"
	"acaciakeel/router"
	"acaciakeel/store"
	"acaciakeel/telemetry"
	"acaciakeel/verdicts"
)

// Node is one process of the system. It answers client requests through the router, follows
// the platform's store, shares what it knows of the targets with the other nodes and, while it
// is the leader, sends load orders to the runners.
type Node struct {
	settings     platform.NodeSettings
	log          logrus.FieldLogger
	registry     *prometheus.Registry
	view         *view
	session      *lease.Session
	store        *platform.Store
	frontend     *platform.Frontend
	router       *router.Router
	cacheWatcher *fleet.CacheWatcher
	replacements *fleet.ReplacementChecker
	exchange     *peerExchange
	name         string
	stopping     chan struct{}
	options      Options
	limits       limitMetrics
	targetLimits targetLimitMetrics
	sharing      sharingMetrics
	servers      struct{ front, ready, metrics *door.Server }
	lateness     door.Lateness
	// cancel stops everything that the node runs; cancelDuties stops what it does for the
	// other nodes: its lease, the leader election, the node count and rollouts.
	cancel       context.CancelFunc
	cancelDuties context.CancelFunc
	membership   membership
	// requestCtx is the parent context of all client requests; cancelRequests cancels it with
	// the error that unfinished requests are answered with.
	requestCtx     context.Context
	cancelRequests context.CancelCauseFunc
}

// Options are the settings that are not part of the platform's settings file.
type Options struct {
	// MetricsPort is the port for metrics, from the deploy file; 0 picks any free port.
	MetricsPort int
	// DroppedLogLines, if set, returns the number of log lines lost.
	DroppedLogLines func() int64
	// Disabled lists the mechanisms that are switched off.
	Disabled policy.Disabled
}

func (o Options) droppedLogLines() int64 {
	if o.DroppedLogLines == nil {
		return 0
	}
	return o.DroppedLogLines()
}

// Timing of the store watch, the lease and the bounds on old weights.
const (
	// watchTimeout is how long the store holds a watch open without changes, and so how often
	// it confirms the view. API keys are trusted until the deployment's bound after the last
	// confirmation, less staleMargin. One member of a peering group watches for all (see
	// watchShare): a confirmation reaches the others after one watch, one send and one update
	// interval, and must do so well before they would query the store themselves.
	watchTimeout = 500 * time.Millisecond
	// batchDelay is the pause after a change before the next watch, so that changes arriving
	// together cost one call; a configuration has seconds to take effect.
	batchDelay = 300 * time.Millisecond
	// staleMargin covers a watch that receives nothing for a second before it is cut, and the
	// time from a request's arrival until it is sent on.
	staleMargin = 1300 * time.Millisecond
	// leaseTTL is how long the other nodes wait for a node that crashed. It is longer than two
	// calls to a slow store, so that a slow store alone does not expire leases.
	leaseTTL = 2 * time.Second
	// leaseMargin is the time before the end of the lease in which no order is sent: an order
	// takes milliseconds to arrive, and clocks run at slightly different rates.
	leaseMargin = 400 * time.Millisecond
	// oldWeightsMargin is subtracted from the bound after which no request may start on older
	// weights, because a request queues at the runner before it starts.
	oldWeightsMargin = 1500 * time.Millisecond
	// beginMargin is how long before that bound requests queued at a runner are cancelled:
	// closing a connection takes some milliseconds to reach the runner, and a tenth of a
	// second on a slow link or a busy machine.
	beginMargin = 300 * time.Millisecond
)

// New returns a node that has not been started.
func New(s platform.NodeSettings, o Options, log logrus.FieldLogger) *Node {
	n := &Node{
		settings: s,
		options:  o,
		log:      log,
		registry: telemetry.NewRegistry(),
		store:    platform.NewStore("http://" + s.Store.Address),
		name:     newInstanceName(s.Name),
		stopping: make(chan struct{}),
	}
	n.requestCtx, n.cancelRequests = context.WithCancelCause(context.Background())
	runners := platform.NewRunnerClient()
	targets := fleet.New(s.Zone)
	targets.Disable(o.Disabled)
	n.session = lease.NewSession(n.store, max(leaseTTL, time.Duration(s.Store.MinLeaseMS)*time.Millisecond), leaseMargin)
	n.view = &view{
		fleet:         targets,
		log:           log,
		members:       map[string]peering.Member{},
		grace:         s.Bounds.Grace(),
		removalTimers: map[string]*time.Timer{},
		versionMarks:  map[string]*versionMark{},
		rejected:      newRejectedEntries(n.registry, log),
		keys:          newSystemKeys(),
	}
	n.view.self = n.view.keys.members + n.name
	n.view.customerLimiter = quota.NewLimiter(s.Bounds.Quota(), o.Disabled, n.session.Valid, time.Now())
	n.view.targetLimiter = quota.NewLimiter(fleet.LimitTolerance, o.Disabled, n.session.Valid, time.Now())
	targets.EnforceLimits(n.view.targetLimiter, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.limits = newLimitMetrics(n.registry, n.view.customerLimiter)
	n.targetLimits = newTargetLimitMetrics(n.registry)
	if s.Bounds.RevokeFailClosed {
		n.view.staleAfter = time.Duration(s.Bounds.RevokeMS)*time.Millisecond - staleMargin
	}
	n.view.oldWeightsLimit = time.Duration(s.Bounds.VersionMS)*time.Millisecond - oldWeightsMargin
	n.view.verdicts = verdicts.NewSyncer(n.store, n.registry, log)
	n.view.leaderLock = rollout.NewLeaderLock(n.store, n.session, n.view.keys.leader, n.name, time.Duration(s.Bounds.LeaseMS)*time.Millisecond, log)
	n.view.leaderLock.KeepHistory(n.view.keys.leaderHistory)
	n.view.leaderLock.SetHolderAlive(n.view.isMember)
	n.view.leaderLock.SetMetrics(rollout.NewLockMetrics(n.registry, n.view.leaderLock))
	n.exchange = newPeerExchange(n.name, targets, n.view.verdicts.Table, n.view, log)
	n.view.verdicts.Leadership, n.view.verdicts.PublishNow = n.view.leaderLock, n.exchange.sendSoon
	n.exchange.relay.outcomes = telemetry.NewCounter(n.registry, "keel_node_digests_total", "Digests between groups of entries: told, passed_on, left_out, over_link.", "what")
	n.view.controller = rollout.NewController(s.Name, rollout.Config{
		Leadership: n.view.leaderLock, Client: runners, Fleet: targets, Services: n.view.services, Notify: n.exchange.sendSoon, Metrics: rollout.NewMetrics(n.registry), OrderTransit: platform.MaxTransit,
		MaxStaleness: n.view.oldWeightsLimit,
	}, log)
	n.view.report = runners.Report
	targets.OnRestart(n.view.targetRestarted)
	targets.OnStartDisproved(n.view.startDisproved)
	targets.OnBuildChange(n.view.targetBuildChanged)
	targets.OnEnd(func(l fleet.Instance) { n.view.verdicts.Table.RecordCrash(l, time.Now()) })
	n.followStore()
	n.membership.metrics = newMembershipMetrics(n.registry)
	buffer := newResponseBuffer(n.registry, s.Limits.MemoryMB, log)
	n.registerGauges()
	n.sharing = newSharingMetrics(n.registry)
	n.cacheWatcher = fleet.NewCacheWatcher(targets, runners)
	n.replacements = fleet.NewReplacementChecker(targets, runners, n.view.targetChecked)
	bounds := router.Bounds{MaxStaleness: n.view.oldWeightsLimit, MaxStartStaleness: time.Duration(s.Bounds.VersionMS)*time.Millisecond - beginMargin}
	retries := router.RetryBounds{
		Ratio:  s.Bounds.RetryRatio,
		Extra:  s.Bounds.RetryExtra,
		Window: time.Duration(s.Bounds.RetryWindowS * float64(time.Second)),
	}
	n.router = router.New(n.view, targets, runners, n.view.verdicts.Table, n.view.customerLimiter, router.NewMetrics(n.registry), log, bounds, retries)
	n.router.ShareCapacity(n.exchange.sharer)
	n.router.TrackOrigins(n.exchange.origins)
	n.exchange.origins.register(n.registry)
	n.exchange.origins.useStore(n.store)
	n.router.LimitBodies(buffer)
	n.frontend = platform.NewFrontend(n.router, n.view.limits, newBodyBudget(n.registry, s.Limits.MemoryMB), platform.Telemetry{
		Log:    log,
		Panics: telemetry.NewCounter(n.registry, "keel_node_panics_total", "Requests whose serving panicked.").WithLabelValues(),
	})
	n.frontend.CheckForDepartedClients(n.lateness.Overloaded)
	if !o.Disabled[policy.ResponseBuffering] {
		n.frontend.BufferResponses(buffer)
	}
	return n
}

func (n *Node) registerGauges() {
	telemetry.NewGaugeFunc(n.registry, "keel_node_view_age_seconds", "Age of the view of the platform's store.", func() float64 {
		age, _ := n.view.follower.Age()
		return age.Seconds()
	})
	telemetry.NewGaugeFunc(n.registry, "keel_node_contents_refused", "Contents that are refused now because targets ended under them.", func() float64 {
		return float64(n.view.verdicts.Table.RefusedCount(time.Now()))
	})
	telemetry.NewGaugeFunc(n.registry, "keel_node_oldest_naming_seconds", "For how long the oldest naming of weights has not been in force everywhere; 0 where all are.", func() float64 {
		return n.view.oldestPendingRollout(time.Now()).Seconds()
	})
	telemetry.NewGaugeFunc(n.registry, "keel_node_leaving_unlisted_targets", "Targets that say in answers that they leave and are not listed as draining.", func() float64 {
		return float64(n.view.fleet.UnlistedShutdowns())
	})
	telemetry.NewGaugeFunc(n.registry, "keel_node_seat_held", "1 while this node gives the orders.", func() float64 {
		if _, held := n.view.leaderLock.Held(); held {
			return 1
		}
		return 0
	})
	telemetry.NewGaugeFunc(n.registry, "keel_node_log_lines_dropped_total", "Log lines dropped because nobody read them.", func() float64 {
		return float64(n.options.droppedLogLines())
	})
}

// newInstanceName returns a name that is unique to one start of a node.
func newInstanceName(node string) string {
	return node + "/" + uuid.NewString()
}

// isInstanceName reports whether text has the form of newInstanceName's result.
func isInstanceName(text string) bool {
	at := strings.LastIndexByte(text, '/')
	return at > 0 && uuid.Validate(text[at+1:]) == nil
}

// Start opens the node's listeners and starts its background work. Requests that arrive before
// the first configuration are refused with a Retry-After.
func (n *Node) Start() error {
	if err := n.exchange.listen(n.exchangeAddress()); err != nil {
		return err
	}
	n.view.setSelfMember(string(encodeMember(n.exchange.address(), n.settings.Zone, n.settings.Limits.LinkMbps)))
	if err := n.startServers(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	duties, cancelDuties := context.WithCancel(ctx)
	n.cancel, n.cancelDuties = cancel, cancelDuties
	go n.view.follower.Run(ctx)
	go n.cacheWatcher.Run(ctx)
	go n.replacements.Run(ctx)
	go n.router.CheckTargets(ctx)
	go n.exchange.run(ctx)
	go n.lateness.Run(ctx)
	go n.logEngineStats(ctx)
	go n.logLimits(ctx)
	go n.logTargetLimits(ctx)
	go n.reportSharing(ctx)
	go n.maintainNodeCount(duties)
	go n.maintainVersionMarks(duties)
	go n.saveStreamRecords(ctx)
	go n.view.verdicts.Run(ctx)
	go n.session.Run(duties, n.onNewLease)
	go n.view.controller.Run(duties)
	go n.runElection(duties)
	go n.maintainMembership(duties)
	n.logMissingSupport()
	n.log.WithFields(logrus.Fields{"event": "started", "node": n.settings.Name, "zone": n.settings.Zone, "listen": n.servers.front.Address(), "commit": telemetry.Commit()}).Info("serving")
	return nil
}

// logMissingSupport logs what the kernel lacks of that on which bounds in time rest.
func (n *Node) logMissingSupport() {
	if err := clock.Unavailable(); err != nil {
		n.log.WithError(err).WithField("event", "clock_degraded").Warn("no clock that goes on while the VM is suspended; after a suspension a lease may be taken for valid that has ended")
	}
	if err := platform.CheckUnackedTimeout(); err != nil {
		n.log.WithError(err).WithField("event", "unacked_timeout_missing").Warn("connections can't be closed by unacknowledged data; a load order of a suspended process may arrive after the next leader's")
	}
}

// startServers starts the client server last, when nothing else can fail: otherwise clients
// could connect and send requests to a process that is about to exit.
func (n *Node) startServers() error {
	watch := door.Telemetry{
		Log:        n.log,
		Unanswered: telemetry.NewCounter(n.registry, "keel_node_connections_unanswered_total", "Connections closed with a request read and nothing answered.").WithLabelValues(),
	}
	var err error
	if n.servers.metrics, err = door.Start(n.metricsAddress(), newServer(n.metricsHandler()), watch); err != nil {
		return err
	}
	if n.servers.ready, err = door.Start(n.settings.Listen.Ready, newServer(http.HandlerFunc(n.serveReady)), watch); err != nil {
		return err
	}
	front := newServer(n.frontend)
	front.ConnContext = platform.ConnContext
	front.BaseContext = func(net.Listener) context.Context { return n.requestCtx }
	if n.servers.front, err = door.Start(n.settings.Listen.Front, front, watch); err != nil {
		return err
	}
	n.refuseWhileOverloaded()
	return nil
}

// FrontAddress returns the address at which the started node serves clients.
func (n *Node) FrontAddress() string { return n.servers.front.Address() }

// ReadyAddress returns the address of the readiness probe.
func (n *Node) ReadyAddress() string { return n.servers.ready.Address() }

func (n *Node) metricsAddress() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.options.MetricsPort))
}

func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /limits", n.serveLimits)
	return mux
}

// serveReady answers the readiness probe: whether new connections may be sent to this node.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-n.stopping:
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	default:
	}
	if n.view.Config() == nil || !n.view.Fresh() {
		http.Error(w, "the configuration is missing or too old to trust keys", http.StatusServiceUnavailable)
	}
}

// onNewLease registers the node under a new lease and tries to become leader.
func (n *Node) onNewLease(ctx context.Context, _ store.LeaseID) {
	n.register(ctx)
	if n.isCandidate() {
		n.view.leaderLock.TryAcquire(ctx)
	}
}

// electionInterval is how often the node checks whether the leader lock is free.
const electionInterval = 200 * time.Millisecond

// runElection acquires the leader lock once it is free.
func (n *Node) runElection(ctx context.Context) {
	ticker := time.NewTicker(electionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if blocker := n.electionBlocker(); blocker != rollout.NotBlocked {
			n.view.leaderLock.RecordBlocker(blocker)
			continue
		}
		if n.view.leaderLock.TryAcquire(ctx) {
			n.view.controller.Wake()
		}
	}
}

// electionBlocker returns why this node does not take part in the election now.
func (n *Node) electionBlocker() rollout.AcquireBlocker {
	switch {
	case n.view.follower.Disconnected():
		return rollout.StoreDisconnected
	case n.view.Config() == nil:
		return rollout.NoConfig
	case !n.isCandidate():
		return rollout.NotCandidate
	}
	return rollout.NotBlocked
}

// Limits of the HTTP servers. They are wider than the client limits of the configuration,
// which may change while connections are open.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 64 << 10
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		// Only targets give successful answers.
		DisableGeneralOptionsHandler: true,
	}
}
