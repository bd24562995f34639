package entry

import (
	"context"
	"strings"
	"time"

	"acaciakeel/prefix"
	"acaciakeel/refusal"
)

// completionRequest is a decoded chat or text completion request.
type completionRequest struct {
	info         requestInfo
	isChat       bool
	model        string
	prompt       prefix.Prompt
	maxTokens    *int
	stream       bool
	includeUsage bool
	deadline     time.Duration
	lastEventID  string
}

// completionReply is the response to a completion request: a session that has produced
// its first event.
type completionReply struct {
	request      *completionRequest
	modelRequest *modelRequest
	session      *session
	firstEvent   streamEvent
	endRequest   func(tokens int)
}

// completionEndpoint runs a model request up to its first event. Any refusal before
// that can still be returned with an HTTP status.
func (e *Entry) completionEndpoint(ctx context.Context, request any) (any, error) {
	c := request.(*completionRequest)
	m, err := e.newModelRequest(c)
	if err != nil {
		return nil, err
	}
	if err := e.contracts.beginRequest(m.customer, m.contract, prefix.TokenCount(len(m.prompt.Text))); err != nil {
		return nil, err
	}
	endRequest := func(tokens int) { e.contracts.endRequest(m.customer, tokens) }
	s, err := e.openSession(ctx, c, m)
	if err != nil {
		endRequest(0)
		return nil, err
	}
	first, ok := <-s.events
	if !ok {
		endRequest(0)
		return nil, s.endError()
	}
	e.metrics.firstToken.WithLabelValues(m.model).Observe(time.Since(m.received).Seconds())
	return &completionReply{request: c, modelRequest: m, session: s, firstEvent: first, endRequest: endRequest}, nil
}

func (e *Entry) openSession(ctx context.Context, c *completionRequest, m *modelRequest) (*session, error) {
	if c.lastEventID == "" {
		return e.startSession(ctx, m), nil
	}
	point, err := parseResumePoint(c.lastEventID)
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, "send back the id of the last event that came", "Last-Event-ID: %v", err)
	}
	s, refused := e.resumeSession(ctx, m, point)
	if refused != nil {
		return nil, refused
	}
	return s, nil
}

// endError returns the reason why a session ended without a final event.
func (s *session) endError() error {
	if s.err == nil {
		return refusal.NewUnknown("the stream ended without an event")
	}
	return s.err
}

// adapterSeparator separates model and adapter in the model field of a request.
const adapterSeparator = ":"

func (e *Entry) newModelRequest(c *completionRequest) (*modelRequest, error) {
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
	m := &modelRequest{
		requestID:  c.info.requestID,
		customer:   c.info.customer,
		contract:   c.info.contract,
		model:      name,
		adapter:    adapter,
		spec:       spec,
		prompt:     c.prompt,
		maxTokens:  maxTokens,
		preference: snapshot.PreferenceOf(c.info.contract),
		received:   c.info.received,
		resumable:  c.stream,
	}
	if c.deadline > 0 {
		m.deadline = c.info.received.Add(c.deadline)
	}
	return m, nil
}

func hasAdapter(adapters []string, adapter string) bool {
	if adapter == "" {
		return true
	}
	for _, known := range adapters {
		if known == adapter {
			return true
		}
	}
	return false
}

func (e *Entry) maxTokens(requested *int) (int, error) {
	limits := e.settings.Limits
	if requested == nil {
		return limits.DefaultTokens, nil
	}
	if *requested < 1 || *requested > limits.MaxTokens {
		return 0, refusal.New(refusal.BadRequest, "use 1 to "+itoa(limits.MaxTokens), "max_tokens is %d", *requested)
	}
	return *requested, nil
}
