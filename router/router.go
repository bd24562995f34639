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
	"acaciakeel/responsebuffer"
	"acaciakeel/retry"
	"acaciakeel/sharing"
)

// ConfigSource provides the configuration that the operators have set.
type ConfigSource interface {
	// Config returns the current configuration, or nil before the first one has been read.
	Config() *catalog.Config
	// Fresh reports whether the configuration was confirmed recently enough to trust keys
	// for authentication. A revoked key must stop working within a fixed time, even when
	// updates cannot reach this process.
	Fresh() bool
}

// Bounds limits how long outdated weights may be used after newer ones are desired. The
// deployment sets it.
type Bounds struct {
	// MaxStaleness is the time during which requests may still be sent to targets with the
	// older weights.
	MaxStaleness time.Duration
	// MaxStartStaleness is the time during which a request that is queued at a target may
	// still start on the older weights. It is shorter than the bound of the deployment, so
	// that a request that is withdrawn at its end has not started when that bound is
	// reached.
	MaxStartStaleness time.Duration
}

// Router routes requests to targets. It is safe for concurrent use.
type Router struct {
	config     ConfigSource
	fleet      *fleet.Fleet
	sender     Sender
	budgets    *retryBudgets
	limiter    *quota.Limiter
	poison     *poison.Table
	detector   *crashDetector
	checker    *responseChecker
	runReports *runReports
	metrics    *Metrics
	log        logrus.FieldLogger
	bounds     Bounds
	// sharer decides who is admitted where targets' time is scarce; nil admits by waits alone.
	sharer *sharing.Sharer
	// bodies counts what is read of responses before it is passed on; nil limits only each.
	bodies *responsebuffer.Pool
	// origins knows what began a stream; nil lets streams be continued anywhere.
	origins Origins
	// shutdown is the planned stop that the process is in; nil before one.
	shutdown     atomic.Pointer[Shutdown]
	serviceTimes *serviceTimes
}

// New returns a router. It records contents that crash targets in t and enforces customer
// limits with q.
func New(c ConfigSource, f *fleet.Fleet, s Sender, t *poison.Table, q *quota.Limiter, m *Metrics, log logrus.FieldLogger, b Bounds, r RetryBounds) *Router {
	return &Router{config: c, fleet: f, sender: s, budgets: newRetryBudgets(r), limiter: q, poison: t, detector: newCrashDetector(s, f, t, log), checker: newResponseChecker(s, f, m, log), runReports: newRunReports(s), serviceTimes: newServiceTimes(), metrics: m, log: log, bounds: b}
}

// costWeights weighs missing cached tokens against waiting in the choice of a runner. A
// missing token counts twice: it delays its own request and takes time of the runner for
// which other requests wait.
var costWeights = placement.CostWeights{Miss: 2, Wait: 1}

// defaultRetryAfter is the Retry-After value where no better estimate exists. It is of the
// order of a process restart or of a load of weights.
const defaultRetryAfter = time.Second

// admittedRequest is a request with what admission has determined so far.
type admittedRequest struct {
	*Request
	route    *catalog.Route
	service  *catalog.Service
	customer *catalog.Customer
	// isolated identifies the customers that share no cached prompt parts.
	isolated string
	deadline time.Time
	// content identifies what the request asks for, independent of its ID.
	content poison.Fingerprint
	// parts are those of the prompt that other requests may share.
	parts []poison.Part
}

// Serve answers a request. It returns nil once the response is complete, or the reason for
// the failure. Nothing has been written to the client in that case, unless the kind is
// Interrupted.
func (r *Router) Serve(ctx context.Context, req *Request, writer ResponseWriter) *refusal.Error {
	in, refused := r.admit(req)
	if refused != nil {
		return r.finish(ctx, in, nil, refused)
	}
	if !in.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, in.deadline)
		defer cancel()
	}
	charge, refused := r.charge(in)
	if refused != nil {
		return r.finish(ctx, in, nil, refused)
	}
	s := &session{router: r, in: in, writer: writer, charge: charge}
	if in.resumedByClient() {
		s.position = newStreamPosition(in.LastEventID)
	}
	defer s.settleCharge()
	refused = s.run(ctx)
	if refused != nil && s.stream.began && r.origins != nil {
		r.origins.Flush()
	}
	if refused == nil {
		refused = s.awaitDelivery()
	}
	return r.finish(ctx, in, s, refused)
}

// admit checks a request against the configuration and resolves its route, customer and
// service.
func (r *Router) admit(req *Request) (*admittedRequest, *refusal.Error) {
	in := &admittedRequest{Request: req}
	config := r.config.Config()
	if config == nil {
		return in, refusal.New(refusal.TargetNotReady, "come back after the time in Retry-After, or ask another entry",
			"this entry has no configuration yet").WithRetryAfter(defaultRetryAfter)
	}
	in.isolated = config.Isolated()
	in.route = config.Match(req.Host, req.Path)
	keyed := config.NeedsKeys() && (in.route == nil || !in.route.Public)
	if keyed && !r.config.Fresh() {
		// With an outdated configuration neither a key nor an unknown route can be
		// judged: the key may have been revoked, or the route added, in the meantime.
		return in, refusal.New(refusal.PlatformDown, "ask another entry",
			"this entry could not confirm its configuration for too long to trust keys").WithRetryAfter(defaultRetryAfter)
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
	in.parts = in.poisonParts()
	in.deadline = earlierDeadline(req.Deadline, in.route.Timeout, req.Received)
	return in, nil
}

// charge charges a request to the limit of its customer, or refuses it.
func (r *Router) charge(in *admittedRequest) (*quota.Charge, *refusal.Error) {
	if in.customer == nil {
		return nil, nil
	}
	charge, wait, ok := r.limiter.Admit(in.customer.Name, in.Size, time.Now())
	if ok {
		return charge, nil
	}
	l := in.customer.Limit
	return nil, refusal.New(refusal.ContractExceeded, "come back after the time in Retry-After, or ask the operators for a higher limit",
		"customer %s is over its limit of %.0f %s a second", in.customer.Name, l.Rate, l.Unit).WithRetryAfter(wait)
}

// Deadline returns when a request ends at the latest: at its own deadline or at the timeout of its
// route; zero if there is neither. Only its head needs to be known.
func (r *Router) Deadline(req *Request) time.Time {
	config := r.config.Config()
	if config == nil {
		return req.Deadline
	}
	route := config.Match(req.Host, req.Path)
	if route == nil {
		return req.Deadline
	}
	return earlierDeadline(req.Deadline, route.Timeout, req.Received)
}

func earlierDeadline(deadline time.Time, timeout time.Duration, received time.Time) time.Time {
	if timeout <= 0 {
		return deadline
	}
	byTimeout := received.Add(timeout)
	if !deadline.IsZero() && deadline.Before(byTimeout) {
		return deadline
	}
	return byTimeout
}

// fingerprint returns the content fingerprint, which is the same for every repetition of a
// request at any process. It takes about 1 µs per KB of body.
func (in *admittedRequest) fingerprint() poison.Fingerprint {
	return poison.Content{Method: in.Method, Host: in.Host, URI: in.URI, Customer: in.customerName(), Body: in.Body}.Fingerprint()
}

// customerName returns the name of the customer, or "" on routes without keys.
func (in *admittedRequest) customerName() string {
	if in.customer == nil {
		return ""
	}
	return in.customer.Name
}

// priority returns the priority that is sent to the target. The rank of the customer takes
// precedence over that of the route, which orders requests of equal customer rank.
func (in *admittedRequest) priority() int {
	rank := in.route.Priority
	if in.customer != nil && in.customer.HasPriority {
		rank = in.customer.Priority
	}
	return fleet.Priority(rank, in.route.Priority)
}

// cacheSalt returns the salt that decides which cached prompt parts the request may reuse.
// All customers share one salt for each model and version of weights, except isolated
// customers, who have their own. The shared salt changes with the set of isolated customers:
// parts that one of them left behind before it was isolated must not be found any more.
func (in *admittedRequest) cacheSalt(weights int64) string {
	s := prefix.Salt{Model: in.Model, WeightsVersion: strconv.FormatInt(weights, 10)}
	if in.customer != nil && in.customer.Isolated {
		s.Customer = in.customer.Name
	} else {
		s.Excluded = in.isolated
	}
	return s.String()
}

// finish logs the result of a request and updates the metrics.
func (r *Router) finish(ctx context.Context, in *admittedRequest, s *session, refused *refusal.Error) *refusal.Error {
	refused = r.classifyContextError(ctx, in, refused)
	elapsed := time.Since(in.Received)
	fields := logrus.Fields{"event": "request", "request": in.ID, "took_ms": elapsed.Milliseconds()}
	if in.route != nil {
		fields["route"] = in.route.Name
	}
	if s != nil {
		s.addLogFields(fields)
		r.metrics.latency.WithLabelValues(in.route.Name).Observe(elapsed.Seconds())
		s.observePause()
	}
	if refused == nil {
		if s != nil && s.attempts > 1 {
			s.addAttempts(fields)
		}
		r.log.WithFields(fields).Info("served")
		return nil
	}
	r.metrics.refusals.WithLabelValues(string(refused.Kind)).Inc()
	if s != nil {
		s.addAttempts(fields)
		if refused.Outcome == refusal.NotRun {
			r.metrics.promises.WithLabelValues(s.promiseBasis(), string(refused.Kind)).Inc()
		}
	}
	fields["kind"] = refused.Kind
	fields["outcome"] = refused.Outcome
	r.log.WithFields(fields).Info(refused.Message)
	return refused
}

// classifyContextError replaces the refusal of a request whose context has ended by the reason
// for that: the process stops, the client has disconnected or its deadline has passed. The
// refusal itself may hold any error that followed from it.
func (r *Router) classifyContextError(ctx context.Context, in *admittedRequest, refused *refusal.Error) *refusal.Error {
	if refused == nil || refused.Kind == refusal.Interrupted {
		return refused
	}
	switch {
	case errors.Is(context.Cause(ctx), ErrShutdown):
		out := refusal.New(refusal.Stopping, "ask another entry; look the result up where it may have run", "this entry stopped before the request ended").WithRetryAfter(shutdownRetryAfter)
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

// takeRetry takes one retry from the budget and reports whether the budget had one. It counts
// retries by reason, and those that the budget did not allow.
func (s *session) takeRetry(reason retry.Reason) bool {
	if !s.router.budgets.take(s.in.service.Name, s.router.fleet.ProcessCount(), time.Now()) {
		s.router.metrics.exhausted.Inc()
		return false
	}
	s.router.metrics.retries.WithLabelValues(string(reason)).Inc()
	return true
}
