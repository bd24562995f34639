package entry

import (
	"context"
	"strings"
	"time"

	"acaciakeel/prefix"
	"acaciakeel/refusal"
)

// completion is a decoded model request of either kind.
type completion struct {
	caller      caller
	chat        bool
	model       string
	prompt      prefix.Prompt
	maxTokens   *int
	stream      bool
	withUsage   bool
	deadline    time.Duration
	lastEventID string
}

// reply is the answer to a completion: a session whose first event is there.
type reply struct {
	completion *completion
	plan       *plan
	session    *session
	first      event
	done       func(tokens int)
}

// completionEndpoint runs a model request up to its first event, so that all
// that can be refused is refused with an HTTP status.
func (e *Entry) completionEndpoint(ctx context.Context, request any) (any, error) {
	c := request.(*completion)
	p, err := e.newPlan(c)
	if err != nil {
		return nil, err
	}
	if err := e.contracts.begin(p.customer, p.contract, prefix.TokenCount(len(p.prompt.Text))); err != nil {
		return nil, err
	}
	done := func(tokens int) { e.contracts.end(p.customer, tokens) }
	s, err := e.openSession(ctx, c, p)
	if err != nil {
		done(0)
		return nil, err
	}
	first, ok := <-s.events
	if !ok {
		done(0)
		return nil, s.ended()
	}
	e.metrics.firstToken.WithLabelValues(p.model).Observe(time.Since(p.received).Seconds())
	return &reply{completion: c, plan: p, session: s, first: first, done: done}, nil
}

func (e *Entry) openSession(ctx context.Context, c *completion, p *plan) (*session, error) {
	if c.lastEventID == "" {
		return e.startSession(ctx, p), nil
	}
	point, err := parseResumePoint(c.lastEventID)
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, "send back the id of the last event that came", "Last-Event-ID: %v", err)
	}
	s, refused := e.resumeSession(ctx, p, point)
	if refused != nil {
		return nil, refused
	}
	return s, nil
}

// ended returns why a session ended without an event.
func (s *session) ended() error {
	if s.err == nil {
		return refusal.NewUnknown("the stream ended without an event")
	}
	return s.err
}

// adapterSeparator stands between a model and an adapter in a request.
const adapterSeparator = ":"

func (e *Entry) newPlan(c *completion) (*plan, error) {
	snapshot := e.table.Load().snapshot()
	name, adapter, _ := strings.Cut(c.model, adapterSeparator)
	spec, ok := snapshot.Models[name]
	if !ok || !hasAdapter(spec.Adapters, adapter) {
		return nil, refusal.New(refusal.UnknownModel, "see GET /v1/models for those there are", "there is no model %q", c.model)
	}
	maxTokens, err := e.maxTokens(c.maxTokens)
	if err != nil {
		return nil, err
	}
	p := &plan{
		requestID:  c.caller.requestID,
		customer:   c.caller.name,
		contract:   c.caller.contract,
		model:      name,
		adapter:    adapter,
		spec:       spec,
		prompt:     c.prompt,
		maxTokens:  maxTokens,
		preference: snapshot.PreferenceOf(c.caller.contract),
		received:   c.caller.received,
		resumable:  c.stream,
	}
	if c.deadline > 0 {
		p.deadline = c.caller.received.Add(c.deadline)
	}
	return p, nil
}

func hasAdapter(adapters []string, adapter string) bool {
	if adapter == "" {
		return true
	}
	for _, have := range adapters {
		if have == adapter {
			return true
		}
	}
	return false
}

func (e *Entry) maxTokens(asked *int) (int, error) {
	limits := e.settings.Limits
	if asked == nil {
		return limits.DefaultTokens, nil
	}
	if *asked < 1 || *asked > limits.MaxTokens {
		return 0, refusal.New(refusal.BadRequest, "use 1 to "+itoa(limits.MaxTokens), "max_tokens is %d", *asked)
	}
	return *asked, nil
}
