package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"acaciakeel/door"
	"acaciakeel/fleet"
	"acaciakeel/follow"
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

// Node is the process.
type Node struct {
	settings platform.NodeSettings
	log      logrus.FieldLogger
	registry *prometheus.Registry
	view     *view
	session  *lease.Session
	store    *platform.Store
	front    *platform.Frontend
	router   *router.Router
	events   *fleet.CacheWatcher
	pulse    *pulse
	name     string
	stopping chan struct{}
	options  Options
	limits   limitMetrics
	notices  noticeMetrics
	doors    struct{ front, ready, metrics *door.Server }
	// cancel ends all the node does, endDuties what it does for others.
	cancel    context.CancelFunc
	endDuties context.CancelFunc
	// enrolled is the node's entry among the members.
	enrolled struct {
		sync.Mutex
		revision int64
		left     bool
	}
	// serving is what clients' requests are served under; interrupt ends it with
	// the reason that requests are answered with.
	serving   context.Context
	interrupt context.CancelCauseFunc
}

// Options are what the platform's settings do not say.
type Options struct {
	// MetricsPort is where metrics are served, as the deploy file says; 0 is any port.
	MetricsPort int
	// DroppedLogLines, where set, returns how many log lines were lost.
	DroppedLogLines func() int64
	// Disabled are the mechanisms that are switched off.
	Disabled policy.Disabled
}

func (o Options) dropped() int64 {
	if o.DroppedLogLines == nil {
		return 0
	}
	return o.DroppedLogLines()
}

// Figures of a node's duties.
const (
	// watchWait is how often the store confirms the view. Keys are trusted for
	// the deployment's bound after the last confirmation, less staleMargin. The
	// others of the group live on the same watch, one watch, a telling and a
	// pulse later, and are to hear of it well before they would ask themselves.
	watchWait = 500 * time.Millisecond
	// gather is how long news may wait for more of it; a configuration has
	// seconds to come into force.
	gather = 300 * time.Millisecond
	// staleMargin covers a watch that hears nothing for a second before it is
	// cut, and the time from a request's arrival to its sending.
	staleMargin = 1300 * time.Millisecond
	// leaseTTL is how long the others wait for a node that died. It outlasts two
	// calls of a slow store, so that such a store ends no lease.
	leaseTTL = 2 * time.Second
	// leaseMargin is kept from the end of the lease before an order: an order
	// takes milliseconds to arrive, and clocks run a little apart.
	leaseMargin = 400 * time.Millisecond
	// oldWeightsMargin is kept from the bound after which no request may begin
	// on older weights: it waits at the runner before it begins.
	oldWeightsMargin = 1500 * time.Millisecond
	// beginMargin is kept from that bound before what waits at a runner is taken back:
	// the end of a connection takes some ms to arrive there, on a slow link or a busy
	// machine a tenth of a second.
	beginMargin = 300 * time.Millisecond
)

// New returns a node that has not begun.
func New(s platform.NodeSettings, o Options, log logrus.FieldLogger) *Node {
	n := &Node{
		settings: s,
		options:  o,
		log:      log,
		registry: telemetry.NewRegistry(),
		store:    platform.NewStore("http://" + s.Store.Address),
		name:     newName(s.Name),
		stopping: make(chan struct{}),
	}
	n.serving, n.interrupt = context.WithCancelCause(context.Background())
	runners := platform.NewRunnerClient()
	targets := fleet.New(s.Zone)
	targets.Disable(o.Disabled)
	n.session = lease.NewSession(n.store, max(leaseTTL, time.Duration(s.Store.MinLeaseMS)*time.Millisecond), leaseMargin)
	n.view = &view{
		fleet:   targets,
		log:     log,
		members: map[string]peering.Member{},
		grace:   s.Bounds.Grace(),
		lapsed:  map[string]*time.Timer{},
		foreign: newForeign(n.registry, log),
		keys:    ownKeysOf(),
	}
	n.view.self = n.view.keys.members + n.name
	n.view.limitBook = quota.NewLimiter(s.Bounds.Quota(), o.Disabled, n.session.Valid, time.Now())
	n.view.targetBook = quota.NewLimiter(fleet.LimitTolerance, o.Disabled, n.session.Valid, time.Now())
	targets.EnforceLimits(n.view.targetBook, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.limits = newLimitMetrics(n.registry, n.view.limitBook)
	n.notices = newNoticeMetrics(n.registry)
	if s.Bounds.RevokeFailClosed {
		n.view.staleAfter = time.Duration(s.Bounds.RevokeMS)*time.Millisecond - staleMargin
	}
	n.view.oldWeights = time.Duration(s.Bounds.VersionMS)*time.Millisecond - oldWeightsMargin
	n.view.verdicts = verdicts.NewSyncer(n.store, n.registry, log)
	n.view.seat = rollout.NewLeaderLock(n.store, n.session, n.view.keys.seat, n.name, time.Duration(s.Bounds.LeaseMS)*time.Millisecond, log)
	n.pulse = newPulse(n.name, targets, n.view.verdicts.Table, n.view, log)
	n.view.verdicts.Leadership, n.view.verdicts.PublishNow = n.view.seat, n.pulse.soon
	n.pulse.digest.counted = telemetry.NewCounter(n.registry, "keel_node_digests_total", "Digests between groups of entries: told, passed_on, left_out.", "what")
	n.view.holder = rollout.NewController(s.Name, rollout.Config{
		Leadership: n.view.seat, Client: runners, Fleet: targets, Services: n.view.services, Notify: n.pulse.soon, Metrics: rollout.NewMetrics(n.registry),
		MaxStaleness: n.view.oldWeights,
	}, log)
	targets.OnRestart(n.view.reborn)
	targets.OnEnd(func(l fleet.Instance) { n.view.verdicts.Table.RecordCrash(l, time.Now()) })
	watches := telemetry.NewCounter(n.registry, "keel_node_store_watches_total", "Watches of the platform's store, by reason.", "reason")
	timing := follow.Options{WatchTimeout: watchWait, BatchDelay: gather, PeerTimeout: n.view.patience, OnWatch: func(r follow.Reason) { watches.WithLabelValues(string(r)).Inc() }}
	n.view.follower = follow.New(n.store, platform.AllKeys, timing, platform.NewDecoder(n.view), log)
	n.view.follower.OnChanges(n.pulse.watched)
	n.registerGauges()
	n.events = fleet.NewCacheWatcher(targets, runners)
	bounds := router.Bounds{MaxStaleness: n.view.oldWeights, MaxStartStaleness: time.Duration(s.Bounds.VersionMS)*time.Millisecond - beginMargin}
	retries := router.RetryBounds{
		Ratio:  s.Bounds.RetryRatio,
		Extra:  s.Bounds.RetryExtra,
		Window: time.Duration(s.Bounds.RetryWindowS * float64(time.Second)),
	}
	n.router = router.New(n.view, targets, runners, n.view.verdicts.Table, n.view.limitBook, router.NewMetrics(n.registry), log, bounds, retries)
	n.front = platform.NewFrontend(n.router, n.view.limits, platform.Telemetry{
		Log:    log,
		Panics: telemetry.NewCounter(n.registry, "keel_node_panics_total", "Requests whose serving panicked.").WithLabelValues(),
	})
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
		return n.view.oldestNaming(time.Now()).Seconds()
	})
	telemetry.NewGaugeFunc(n.registry, "keel_node_leaving_unlisted_targets", "Targets that say in answers that they leave and are not listed as draining.", func() float64 {
		return float64(n.view.fleet.UnlistedShutdowns())
	})
	telemetry.NewGaugeFunc(n.registry, "keel_node_seat_held", "1 while this node gives the orders.", func() float64 {
		if _, held := n.view.seat.Held(); held {
			return 1
		}
		return 0
	})
	telemetry.NewGaugeFunc(n.registry, "keel_node_log_lines_dropped_total", "Log lines dropped because nobody read them.", func() float64 {
		return float64(n.options.dropped())
	})
}

// newName returns the name of one start of a node.
func newName(node string) string {
	return node + "/" + uuid.NewString()
}

// isName reports whether a text is the name of a node's start.
func isName(text string) bool {
	at := strings.LastIndexByte(text, '/')
	return at > 0 && uuid.Validate(text[at+1:]) == nil
}

// Start opens the node's doors and begins its duties. Requests that come before
// the first configuration are refused with the time to come back.
func (n *Node) Start() error {
	if err := n.pulse.listen(n.pulseAddress()); err != nil {
		return err
	}
	if err := n.openDoors(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	duties, endDuties := context.WithCancel(ctx)
	n.cancel, n.endDuties = cancel, endDuties
	go n.view.follower.Run(ctx)
	go n.events.Run(ctx)
	go n.pulse.run(ctx)
	go n.logFigures(ctx)
	go n.logLimits(ctx)
	go n.logTargetLimits(ctx)
	go n.keepCount(duties)
	go n.view.verdicts.Run(ctx)
	go n.session.Run(duties, n.enrol)
	go n.view.holder.Run(duties)
	go n.seekSeat(duties)
	n.log.WithFields(logrus.Fields{"event": "started", "node": n.settings.Name, "zone": n.settings.Zone, "listen": n.doors.front.Address()}).Info("serving")
	return nil
}

// openDoors opens the front last, when nothing else can fail: clients that came
// before would lose their connections, and what they sent, with the process.
func (n *Node) openDoors() error {
	watch := door.Telemetry{
		Log:        n.log,
		Unanswered: telemetry.NewCounter(n.registry, "keel_node_connections_unanswered_total", "Connections closed with a request read and nothing answered.").WithLabelValues(),
	}
	var err error
	if n.doors.metrics, err = door.Start(n.metricsAddress(), newServer(n.metricsHandler()), watch); err != nil {
		return err
	}
	if n.doors.ready, err = door.Start(n.settings.Listen.Ready, newServer(http.HandlerFunc(n.serveReady)), watch); err != nil {
		return err
	}
	front := newServer(n.front)
	front.BaseContext = func(net.Listener) context.Context { return n.serving }
	n.doors.front, err = door.Start(n.settings.Listen.Front, front, watch)
	return err
}

// FrontAddress and ReadyAddress return where the started node serves clients
// and the platform's question whether it is ready.
func (n *Node) FrontAddress() string { return n.doors.front.Address() }

// ReadyAddress returns where the platform asks whether the node is ready.
func (n *Node) ReadyAddress() string { return n.doors.ready.Address() }

func (n *Node) metricsAddress() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.options.MetricsPort))
}

func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /limits", n.serveLimits)
	return mux
}

// serveReady answers whether new connections are to come here.
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

// enrol puts the node among the members under a new lease.
func (n *Node) enrol(ctx context.Context, id store.LeaseID) {
	if err := n.join(ctx, id); err != nil {
		n.log.WithError(err).WithField("event", "enrol_failed").Warn("the others count this node out until its next lease")
	}
	if n.seeks() {
		n.view.seat.TryAcquire(ctx)
	}
}

// join writes the node's entry among the members, unless it is leaving.
func (n *Node) join(ctx context.Context, id store.LeaseID) error {
	n.enrolled.Lock()
	defer n.enrolled.Unlock()
	if n.enrolled.left {
		return nil
	}
	revision, err := n.store.Put(ctx, n.view.self, memberValue(n.pulse.address(), n.settings.Zone), 0, id)
	if err == nil {
		n.enrolled.revision = revision
	}
	return err
}

// seekEvery is how often a free seat is looked for.
const seekEvery = 200 * time.Millisecond

// seekSeat takes the seat once it is free.
func (n *Node) seekSeat(ctx context.Context) {
	ticker := time.NewTicker(seekEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if n.view.follower.Disconnected() || n.view.Config() == nil || !n.seeks() {
			continue
		}
		if n.view.seat.TryAcquire(ctx) {
			n.view.holder.Wake()
		}
	}
}

// Bounds of the listeners. They outlast the limits that the configuration sets
// on clients, which may change while connections are open.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 64 << 10
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
}
