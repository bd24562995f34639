package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/placement"
	"acaciakeel/poison"
	"acaciakeel/prefix"
	"acaciakeel/quota"
	"acaciakeel/refusal"
	"acaciakeel/retry"
)

// ConfigSource is what a router asks of the process's view of the operators' intent.
type ConfigSource interface {
	// Config returns the configuration in force, or nil before the first.
	Config() *catalog.Config
	// Fresh reports whether the view was confirmed recently enough for a key
	// to be believed: a key that was taken away must not work for longer than
	// the bound, also where the news can't arrive.
	Fresh() bool
}

// Bounds are the figures that the deployment sets.
type Bounds struct {
	// MaxStaleness is for how long after newer weights were named requests may
	// be sent to targets with older ones.
	MaxStaleness time.Duration
	// MaxStartStaleness is for how long after that a run may begin on older ones, wherever it
	// waits. It ends before the deployment's bound, so that a request that is taken
	// back then has not begun when the bound comes.
	MaxStartStaleness time.Duration
}

// Router serves requests. It is safe for concurrent use.
type Router struct {
	config  ConfigSource
	fleet   *fleet.Fleet
	sender  Sender
	budgets *budgets
	limits  *quota.Limiter
	poison  *poison.Table
	endings *endings
	metrics *Metrics
	log     logrus.FieldLogger
	bounds  Bounds
	// leaving is until when requests may take, once the process is about to end.
	leaving atomic.Pointer[time.Time]
}

// New returns a router, which keeps in t the contents under which targets end, and
// customers within their limits by q.
func New(c ConfigSource, f *fleet.Fleet, s Sender, t *poison.Table, q *quota.Limiter, m *Metrics, log logrus.FieldLogger, b Bounds, r RetryBounds) *Router {
	return &Router{config: c, fleet: f, sender: s, budgets: newBudgets(r), limits: q, poison: t, endings: newEndings(s, f, t, log), metrics: m, log: log, bounds: b}
}

// cacheWeights is how missing tokens and waiting weigh in the choice of a
// runner. A missing token costs its own wait and the runner's time, which
// others wait for.
var cacheWeights = placement.CostWeights{Miss: 2, Wait: 1}

// retryAfter is when to come back where nothing better is known: the order of
// a process's restart or of a load of weights.
const retryAfter = time.Second

// admitted is a request that may be served.
type admitted struct {
	*Request
	route    *catalog.Route
	service  *catalog.Service
	customer *catalog.Customer
	limit    time.Time
	// content names what is asked.
	content poison.Fingerprint
}

// Serve answers a request. It returns nil once the answer is whole, or why
// there is none; then nothing has been written, unless the refusal's kind is
// Interrupted.
func (r *Router) Serve(ctx context.Context, req *Request, reply ResponseWriter) *refusal.Error {
	in, refused := r.admit(req)
	if refused != nil {
		return r.finish(ctx, in, nil, refused)
	}
	if !in.limit.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, in.limit)
		defer cancel()
	}
	charge, refused := r.charge(in)
	if refused != nil {
		return r.finish(ctx, in, nil, refused)
	}
	s := &session{router: r, in: in, reply: reply, charge: charge}
	defer s.settleCharge()
	return r.finish(ctx, in, s, s.run(ctx))
}

// admit decides whether a request is one that the configuration allows.
func (r *Router) admit(req *Request) (*admitted, *refusal.Error) {
	in := &admitted{Request: req}
	config := r.config.Config()
	if config == nil {
		return in, refusal.New(refusal.TargetNotReady, "come back after the time in Retry-After, or ask another entry",
			"this entry has no configuration yet").WithRetryAfter(retryAfter)
	}
	in.route = config.Match(req.Host, req.Path)
	keyed := config.NeedsKeys() && (in.route == nil || !in.route.Public)
	if keyed && !r.config.Fresh() {
		// Neither a key nor an unknown route can be judged by old knowledge: a
		// key may have been taken away, or a route added, meanwhile.
		return in, refusal.New(refusal.PlatformDown, "ask another entry",
			"this entry could not confirm its configuration for too long to trust keys").WithRetryAfter(retryAfter)
	}
	if in.route == nil {
		return in, refusal.New(refusal.NotFound, "check host and path", "no route for %s%s", req.Host, req.Path)
	}
	if keyed {
		in.customer = config.Customer(req.Key)
		if in.customer == nil {
			return in, refusal.New(refusal.Unauthorized, "send a key that the operators have given out", "no customer has this key")
		}
	}
	in.service = config.Services[in.route.Service(rand.Float64())]
	if in.service == nil {
		return in, refusal.New(refusal.UnknownService, "tell the operators", "route %s leads to no service", in.route.Name)
	}
	in.content = in.fingerprint()
	in.limit = earliest(req.Deadline, in.route.Timeout, req.Received)
	if until := r.leaving.Load(); until != nil && !in.endsBy(*until) {
		return in, refusal.New(refusal.Stopping, "ask another entry", "this entry stops before the request is expected to end").WithRetryAfter(leaveRetryAfter)
	}
	return in, nil
}

// charge counts a request against its customer's limit, or refuses it.
func (r *Router) charge(in *admitted) (*quota.Charge, *refusal.Error) {
	if in.customer == nil {
		return nil, nil
	}
	charge, wait, ok := r.limits.Admit(in.customer.Name, in.Size, time.Now())
	if ok {
		return charge, nil
	}
	l := in.customer.Limit
	return nil, refusal.New(refusal.ContractExceeded, "come back after the time in Retry-After, or ask the operators for a higher limit",
		"customer %s is over its limit of %.0f %s a second", in.customer.Name, l.Rate, l.Unit).WithRetryAfter(wait)
}

func earliest(deadline time.Time, timeout time.Duration, received time.Time) time.Time {
	if timeout <= 0 {
		return deadline
	}
	limit := received.Add(timeout)
	if !deadline.IsZero() && deadline.Before(limit) {
		return deadline
	}
	return limit
}

// fingerprint names what is asked, however often and wherever it comes. It takes
// about a microsecond of a kilobyte.
func (in *admitted) fingerprint() poison.Fingerprint {
	return poison.Content{Method: in.Method, Host: in.Host, URI: in.URI, Customer: in.customerName(), Body: in.Body}.Fingerprint()
}

// customerName is empty on routes without keys.
func (in *admitted) customerName() string {
	if in.customer == nil {
		return ""
	}
	return in.customer.Name
}

// priority is the rank that the target gets.
func (in *admitted) priority() int {
	if in.customer != nil && in.customer.HasPriority {
		return in.customer.Priority
	}
	return in.route.Priority
}

// salt names whose cached parts may be used, and of which weights: those of
// all customers together, but for isolated ones.
func (in *admitted) salt(weights int64) string {
	s := prefix.Salt{Model: in.Model, WeightsVersion: strconv.FormatInt(weights, 10)}
	if in.customer != nil && in.customer.Isolated {
		s.Customer = in.customer.Name
	}
	return s.String()
}

// finish logs and counts how a request ended.
func (r *Router) finish(ctx context.Context, in *admitted, s *session, refused *refusal.Error) *refusal.Error {
	refused = r.settle(ctx, in, refused)
	took := time.Since(in.Received)
	fields := logrus.Fields{"event": "request", "request": in.ID, "took_ms": took.Milliseconds()}
	if in.route != nil {
		fields["route"] = in.route.Name
	}
	if s != nil {
		s.describe(fields)
		r.metrics.latency.WithLabelValues(in.route.Name).Observe(took.Seconds())
	}
	if refused == nil {
		r.log.WithFields(fields).Info("served")
		return nil
	}
	r.metrics.refusals.WithLabelValues(string(refused.Kind)).Inc()
	fields["kind"] = refused.Kind
	fields["outcome"] = refused.Outcome
	r.log.WithFields(fields).Info(refused.Message)
	return refused
}

// settle names the end of the client's time, which shows as any error.
func (r *Router) settle(ctx context.Context, in *admitted, refused *refusal.Error) *refusal.Error {
	if refused == nil || refused.Kind == refusal.Interrupted {
		return refused
	}
	switch {
	case errors.Is(context.Cause(ctx), ErrShutdown):
		out := refusal.New(refusal.Stopping, "ask another entry; look the result up where it may have run", "this entry stopped before the request ended").WithRetryAfter(leaveRetryAfter)
		out.Outcome = refused.Outcome
		return out
	case errors.Is(ctx.Err(), context.Canceled):
		out := refusal.New(refusal.Canceled, "none", "the client left")
		out.Outcome = refused.Outcome
		return out
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && refused.Outcome != refusal.NotRun:
		out := refusal.New(refusal.TimedOut, "allow more time, or look the result up", "no answer within the time of route %s", in.route.Name)
		out.Outcome = refusal.Unknown
		return out
	}
	return refused
}

// mayRetry takes one further send out of the budget and counts its reason.
func (s *session) mayRetry(reason retry.Reason) bool {
	if !s.router.budgets.take(s.in.service.Name, s.router.fleet.ProcessCount(), time.Now()) {
		s.router.metrics.exhausted.Inc()
		return false
	}
	s.router.metrics.retries.WithLabelValues(string(reason)).Inc()
	return true
}
