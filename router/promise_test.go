package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/poison"
	"acaciakeel/quota"
	"acaciakeel/refusal"
	"acaciakeel/retry"
)

// step is what becomes of one attempt at a target.
type step struct {
	name string
	// mayRun is set if the target may have run the request, or may still do so.
	mayRun bool
	// silent is set if the target does not accept connections from then on.
	silent bool
	send   func(ctx context.Context, p *play, a *Attempt) (*Response, error)
}

// play is one request with the steps of its attempts.
type play struct {
	steps   []step
	fleet   *fleet.Fleet
	cancel  context.CancelCauseFunc
	mu      sync.Mutex
	silent  map[string]bool
	targets []string
	// beyond is set if the session made more attempts than there are steps.
	beyond bool
}

func (p *play) Send(ctx context.Context, a *Attempt) (*Response, error) {
	n := len(p.targets)
	if n >= len(p.steps) {
		p.beyond = true
		return nil, &SendError{Err: errors.New("no step left")}
	}
	p.targets = append(p.targets, a.Target.ID)
	p.mu.Lock()
	p.silent[a.Target.ID] = p.steps[n].silent
	p.mu.Unlock()
	return p.steps[n].send(ctx, p, a)
}

func (p *play) Probe(ctx context.Context, target fleet.Target) ProbeResult {
	p.mu.Lock()
	silent := p.silent[target.ID]
	p.mu.Unlock()
	if !silent {
		return Listening
	}
	<-ctx.Done()
	return Inconclusive
}

func (p *play) Runs(context.Context, fleet.Target) (RunReport, error) {
	return RunReport{Idle: true}, nil
}

func (p *play) Identify(_ context.Context, target fleet.Target) (fleet.Instance, error) {
	return target.Instance(), nil
}

var errConfirm = errors.New("the target has ended")

func (p *play) Confirm(context.Context, fleet.Target) error { return errConfirm }

// answering returns a step whose target sends a response to the request, changed by change.
func answering(name string, mayRun bool, status int, change func(r *Response)) step {
	return step{name: name, mayRun: mayRun, send: func(_ context.Context, _ *play, a *Attempt) (*Response, error) {
		r := &Response{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("")), Framing: Length, MatchesRequest: true, RequestID: a.Request.ID, InstanceID: a.Target.ID}
		if change != nil {
			change(r)
		}
		return r, nil
	}}
}

// failing returns a step whose target sends no response.
func failing(name string, sent bool, err error) step {
	return step{name: name, mayRun: sent, send: func(context.Context, *play, *Attempt) (*Response, error) {
		return nil, &SendError{Err: err, Sent: sent}
	}}
}

// waiting returns a step whose target sends nothing until the attempt is withdrawn; begin is
// called before.
func waiting(name string, sent bool, begin func(p *play)) step {
	return step{name: name, mayRun: sent, send: func(ctx context.Context, p *play, _ *Attempt) (*Response, error) {
		begin(p)
		<-ctx.Done()
		return nil, &SendError{Err: ctx.Err(), Sent: sent}
	}}
}

// waitingBody returns a step whose target sends a header and some events, and then nothing until
// the attempt is withdrawn.
func waitingBody(name, events string, begin func(p *play)) step {
	return step{name: name, mayRun: true, send: func(ctx context.Context, p *play, a *Attempt) (*Response, error) {
		begin(p)
		body := &stoppedBody{ctx: ctx, rest: strings.NewReader(events)}
		return &Response{Status: http.StatusOK, Header: http.Header{}, Body: body, Framing: Chunks, MatchesRequest: true, RequestID: a.Request.ID, Sealed: true}, nil
	}}
}

// brokenBody returns the end of a response that breaks off after some bytes.
func brokenBody(sent string) func(r *Response) {
	return func(r *Response) {
		r.Sealed, r.Framing = true, Chunks
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader(sent), brokenReader{}))
	}
}

// stating makes a response state the length of its body.
func stating(length int64) func(r *Response) {
	return func(r *Response) { r.ContentLength = length }
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func notRun(r *Response) { r.NotRun = true }

func sealed(r *Response) { r.Sealed = true }

// foreign makes a response that of another request.
func foreign(r *Response) { r.MatchesRequest, r.RequestID = false, "other" }

func both(changes ...func(r *Response)) func(r *Response) {
	return func(r *Response) {
		for _, change := range changes {
			change(r)
		}
	}
}

const (
	oneEvent  = "id: 1\ndata: x\n\n"
	allEvents = oneEvent + "id: 2\ndata: y\n\n"
)

func nothing(*play) {}

func nameWeights(p *play) { p.fleet.RecordDesired("m", 2, time.Now(), false) }

func leave(p *play) { p.cancel(context.Canceled) }

func shutDown(p *play) { p.cancel(ErrShutdown) }

func onSilentTarget(s step) step {
	s.silent = true
	return s
}

// commonSteps are the steps tried at each attempt, rareSteps those tried at one attempt of a request.
var (
	commonSteps = []step{
		failing("not sent", false, io.ErrUnexpectedEOF),
		answering("refused", false, 503, notRun),
		failing("sent, no response", true, io.ErrUnexpectedEOF),
		answering("foreign refusal", true, 503, both(notRun, foreign)),
	}
	rareSteps = []step{
		waiting("waits, not sent", false, nothing),
		answering("other weights", false, 421, both(notRun, func(r *Response) { r.Misdirected = true })),
		answering("503 that does not state a refusal", true, 503, nil),
		answering("broken before the first event", true, 200, brokenBody("")),
		answering("broken after an event", true, 200, brokenBody(oneEvent)),
		waiting("waits, sent", true, nothing),
		answering("refused without an ID", false, 503, both(notRun, func(r *Response) { r.RequestID = "" })),
		answering("refused with 429", false, 429, notRun),
		answering("refused with 400", false, 400, notRun),
		answering("refusal of several headers", true, 503, both(notRun, func(r *Response) { r.Ambiguous = true })),
		answering("sealed refusal", true, 503, both(notRun, sealed)),
		answering("refusal that breaks off", true, 503, both(notRun, brokenBody(""), func(r *Response) { r.Sealed = false })),
		answering("refusal without an end", true, 503, both(notRun, stating(maxRefusalBytes+1))),
		{name: "header without an end", mayRun: true, send: func(context.Context, *play, *Attempt) (*Response, error) {
			return nil, &SendError{Err: io.EOF, Sent: true, HeadBytes: MaxResponseHeadBytes}
		}},
		answering("body without an end", true, 200, both(sealed, stating(maxResponseBytes+1), func(r *Response) { r.Header.Set("Content-Type", "application/json") })),
		answering("event without an end", true, 200, both(sealed, func(r *Response) {
			r.Framing, r.Body = Chunks, io.NopCloser(strings.NewReader(strings.Repeat("x", maxEventBytes+1)))
		})),
		answering("other instance", false, 421, both(notRun, func(r *Response) { r.Misdirected, r.InstanceID = true, "other" })),
		answering("other weights, newer", false, 421, both(notRun, func(r *Response) { r.Misdirected, r.WeightsVersion = true, 2 })),
		failing("canceled, not sent", false, context.Canceled),
		{name: "error without a statement", mayRun: true, send: func(context.Context, *play, *Attempt) (*Response, error) { return nil, io.EOF }},
		answering("foreign 421", true, 421, both(notRun, foreign, func(r *Response) { r.Misdirected = true })),
		answering("foreign 200", true, 200, both(sealed, foreign)),
		answering("unmatched refusal without an ID", true, 503, both(notRun, foreign, func(r *Response) { r.RequestID = "" })),
		answering("429 that does not state a refusal", true, 429, nil),
		answering("408 that does not state a refusal", true, 408, nil),
		answering("421 that does not state a refusal", true, 421, nil),
		answering("refusal with a success", true, 200, both(notRun, sealed)),
		answering("refusal with a redirection", true, 302, notRun),
		answering("informational", true, 101, nil),
		answering("unsealed", true, 200, nil),
		answering("encoded", true, 200, both(sealed, func(r *Response) { r.Encoded = true })),
		answering("500", true, 500, sealed),
		answering("504", true, 504, sealed),
		answering("404", true, 404, sealed),
		answering("served", true, 200, both(sealed, func(r *Response) { r.Body = io.NopCloser(strings.NewReader(allEvents)) })),
		answering("served without events", true, 200, sealed),
		answering("refusal as the content of a stream", true, 200, both(sealed, func(r *Response) { r.Header.Set("Content-Type", "application/json") })),
		answering("error of an unconfirmed target", true, 503, func(r *Response) { r.Framing = UntilClose }),
		answering("stream of an unconfirmed target", true, 200, both(sealed, func(r *Response) {
			r.Framing, r.Body = UntilClose, io.NopCloser(strings.NewReader(oneEvent))
		})),
		answering("connection closed before the first event", true, 200, both(sealed, func(r *Response) { r.Framing = UntilClose })),
		answering("broken inside an event", true, 200, brokenBody("id: 1\nda")),
		onSilentTarget(waiting("silent target, not sent", false, nothing)),
		onSilentTarget(waiting("silent target, sent", true, nothing)),
		onSilentTarget(waitingBody("silent target after a header", "", nothing)),
		onSilentTarget(waitingBody("silent target after an event", oneEvent, nothing)),
		waitingBody("waits after a header", "", nothing),
		waitingBody("waits after an event", oneEvent, nothing),
		waiting("weights become too old, not sent", false, nameWeights),
		waiting("weights become too old, sent", true, nameWeights),
		waitingBody("weights become too old after a header", "", nameWeights),
		waiting("client leaves, not sent", false, leave),
		waiting("client leaves, sent", true, leave),
		waitingBody("client leaves after a header", "", leave),
		waiting("process stops, not sent", false, shutDown),
		waiting("process stops, sent", true, shutDown),
		waitingBody("process stops after a header", "", shutDown),
	}
)

// toldClient records the header of the response to a client.
type toldClient struct {
	recordedResponse
	status int
}

func (w *toldClient) WriteHeader(r *Response) error { w.status = r.Status; return nil }

// promiseCase is a route with the retries that its budget allows.
type promiseCase struct {
	name    string
	route   catalog.Route
	model   string
	retries RetryBounds
	metrics *Metrics
	// origins is nil where streams may be continued anywhere.
	origins Origins
}

// serve plays one request and returns what was refused.
func (c *promiseCase) serve(ctx context.Context, p *play, w ResponseWriter) *refusal.Error {
	route := c.route
	p.fleet = fleet.New("here")
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		p.fleet.Put(fleet.Target{ID: id, Zone: "here", Service: "s", Address: id + ":1", Slots: 8, Weights: map[string]int64{"m": 1}})
	}
	p.fleet.RecordDesired("m", 1, time.Now().Add(-time.Hour), false)
	route.Name, route.Host, route.Prefix, route.Public, route.Split = "r", "h", "/", true, []catalog.Share{{Service: "s", Weight: 1}}
	route.Objective = time.Second
	service := &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 8, CapacityTokens: 100000, TokenBytes: 1000, Models: []string{"m"}}}
	config := (&catalog.Config{Routes: []*catalog.Route{&route}, Services: map[string]*catalog.Service{"s": service}}).Index()
	log, _ := logtest.NewNullLogger()
	bounds := Bounds{MaxStaleness: time.Second, MaxStartStaleness: 500 * time.Millisecond}
	r := New(fixedConfig{config}, p.fleet, p, poison.New(nil), quota.NewLimiter(quota.Tolerance{}, nil, nil, time.Now()), c.metrics, log, bounds, c.retries)
	if c.origins != nil {
		r.TrackOrigins(c.origins)
	}
	ctx, p.cancel = context.WithCancelCause(ctx)
	go r.CheckTargets(ctx)
	start := time.Now()
	refused := r.Serve(ctx, &Request{ID: "1", Method: "POST", Host: "h", Path: "/x", URI: "/x", Model: c.model, InputTokens: 100, MaxOutputTokens: 10, Received: start, Deadline: start.Add(4 * time.Second)}, w)
	p.cancel(nil)
	// Probes outlive the request.
	time.Sleep(probeTimeout + reprobeDelay + probeTimeout)
	return refused
}

// check returns what is wrong with a request and what its client was told.
func (c *promiseCase) check(p *play, refused *refusal.Error, w *toldClient) (faults []string) {
	ran := 0
	for i, s := range p.steps[:len(p.targets)] {
		if ran > 0 && !c.route.Repeatable() {
			faults = append(faults, fmt.Sprintf("sent once more (attempt %d) after an attempt that may have run", i+1))
		}
		if s.mayRun {
			ran++
		}
	}
	if ran > max(1, c.route.Attempts) {
		faults = append(faults, fmt.Sprintf("%d attempts may have run", ran))
	}
	if refused == nil {
		passedOn := Response{Status: w.status}
		if passedOn.promisesNotRun() && ran > 0 && !c.route.Repeatable() {
			faults = append(faults, fmt.Sprintf("answered %d after a run", w.status))
		}
		return faults
	}
	if refused.Outcome == refusal.NotRun && (ran > 0 || w.status != 0) {
		faults = append(faults, fmt.Sprintf("refused as not run (%s) after an attempt that may have run", refused.Kind))
	}
	if refused.Outcome != refusal.NotRun && ran == 0 {
		faults = append(faults, fmt.Sprintf("refused with outcome %s (%s) though nothing can have run", refused.Outcome, refused.Kind))
	}
	return faults
}

// explore plays all requests that begin with the given steps, and returns how many there were.
// rare are the steps that may follow once.
func (c *promiseCase) explore(t *testing.T, steps, rare []step) (plays int) {
	for i, next := range slices.Concat(commonSteps, rare) {
		p := &play{steps: append(slices.Clone(steps), next), silent: map[string]bool{}}
		w := &toldClient{}
		refused := c.serve(t.Context(), p, w)
		plays++
		if p.beyond && len(p.steps) < retry.MaxAttempts {
			left := rare
			if i >= len(commonSteps) {
				left = nil
			}
			plays += c.explore(t, p.steps, left)
			continue
		}
		if p.beyond {
			t.Errorf("more than %d attempts", retry.MaxAttempts)
		}
		for _, fault := range c.check(p, refused, w) {
			var names []string
			for _, s := range p.steps {
				names = append(names, s.name)
			}
			t.Errorf("%s: %s; client got status %d, %v", strings.Join(names, " / "), fault, w.status, refused)
		}
	}
	return plays
}

// Guards against "not run" and against a further send after an attempt that may have run a request,
// for each sequence of results of attempts.
func TestPromisesHoldAfterAnySequenceOfAttempts(t *testing.T) {
	for _, c := range []promiseCase{
		{"plain, once", catalog.Route{Kind: catalog.AtMostOnce, Attempts: 1}, "", ampleRetries, nil, nil},
		{"plain, once, no retries", catalog.Route{Kind: catalog.AtMostOnce, Attempts: 1}, "", RetryBounds{Window: time.Second}, nil, nil},
		{"stream that can't be resumed", catalog.Route{Kind: catalog.Stream, Attempts: 1}, "m", ampleRetries, nil, nil},
		{"stream that can't be resumed, two attempts", catalog.Route{Kind: catalog.Stream, Attempts: 2}, "m", ampleRetries, nil, nil},
		{"stream that can't be resumed, no retries", catalog.Route{Kind: catalog.Stream, Attempts: 1}, "m", RetryBounds{Window: time.Second}, nil, nil},
		{"idempotent", catalog.Route{Kind: catalog.Idempotent, Attempts: 2}, "", ampleRetries, nil, nil},
		{"idempotent, no retries", catalog.Route{Kind: catalog.Idempotent, Attempts: 2}, "", RetryBounds{Window: time.Second}, nil, nil},
		{"resumable stream", catalog.Route{Kind: catalog.Stream, Resumable: true, Attempts: 2}, "m", ampleRetries, nil, nil},
		{"resumable stream, one attempt", catalog.Route{Kind: catalog.Stream, Resumable: true, Attempts: 1}, "m", ampleRetries, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			plays := 0
			c.metrics = NewMetrics(prometheus.NewRegistry())
			synctest.Test(t, func(t *testing.T) { plays = c.explore(t, nil, rareSteps) })
			t.Logf("%d requests", plays)
		})
	}
}

// Guards against weights, load and notices that are believed of a refusal which breaks off, and so
// counts as no refusal of this request.
func TestHeaderOfBrokenRefusalIsNotRecorded(t *testing.T) {
	newer := func(r *Response) { r.WeightsVersion = 2 }
	for _, test := range []struct {
		step step
		want int64
	}{
		{answering("whole", false, 503, both(notRun, newer)), 2},
		{answering("breaks off", true, 503, both(notRun, newer, brokenBody(""), func(r *Response) { r.Sealed = false })), 1},
	} {
		t.Run(test.step.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := promiseCase{"", catalog.Route{Kind: catalog.Stream, Attempts: 1}, "m", RetryBounds{Window: time.Second}, NewMetrics(prometheus.NewRegistry()), nil}
				p := &play{steps: []step{test.step}, silent: map[string]bool{}}
				c.serve(t.Context(), p, &toldClient{})
				for _, target := range p.fleet.Targets("s") {
					if target.ID == p.targets[0] && target.Weights["m"] != test.want {
						t.Errorf("target %s counts as having weights %d, want %d", target.ID, target.Weights["m"], test.want)
					}
				}
			})
		})
	}
}
