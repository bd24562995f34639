package agent

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/refusal"
	"acaciakeel/settings"
	"acaciakeel/stream"
	"acaciakeel/target"
)

// Generate implements AgentServiceHandler. It runs a model request, or attaches to one
// that exists, and sends its events from the requested offset.
func (a *Agent) Generate(ctx context.Context, req *connect.Request[keelv1.GenerateRequest], out *connect.ServerStream[keelv1.GenerateResponse]) error {
	a.follower.Hint(int64(req.Msg.ConfigRevision))
	if a.runner == nil {
		return a.sendRefusal(out, noEngineRefusal(req.Msg))
	}
	j, refused := a.findOrSubmit(ctx, req.Msg)
	if refused != nil {
		return a.sendRefusal(out, refused)
	}
	return a.sendEvents(ctx, j, int(req.Msg.Offset), out)
}

// noEngineRefusal is the refusal of a request at an agent of a plain service. A stream that is
// resumed may have run at the engine that was there before.
func noEngineRefusal(req *keelv1.GenerateRequest) *refusal.Error {
	e := refusal.New(refusal.NoTarget, "check the Target resource", "this agent's target is no engine")
	if req.AttachOnly {
		e.Outcome = refusal.Unknown
	}
	return e
}

func (a *Agent) findOrSubmit(ctx context.Context, req *keelv1.GenerateRequest) (*job, *refusal.Error) {
	if req.AttachOnly {
		return a.runner.findOrAdopt(ctx, req)
	}
	return a.runner.submit(req, time.Now())
}

func (a *Agent) sendRefusal(out *connect.ServerStream[keelv1.GenerateResponse], r *refusal.Error) error {
	a.metrics.refusals.WithLabelValues(string(r.Kind)).Inc()
	return out.Send(&keelv1.GenerateResponse{Event: &keelv1.GenerateResponse_Refusal{Refusal: encodeRefusal(r)}})
}

func encodeRefusal(r *refusal.Error) *keelv1.Refusal {
	return &keelv1.Refusal{
		Kind:         string(r.Kind),
		Message:      r.Message,
		Remedy:       r.Remedy,
		Outcome:      string(r.Outcome),
		RetryAfterMs: uint32(r.RetryAfter.Milliseconds()),
	}
}

// sendEvents sends a job's events from offset on. On an idle stream it sends
// heartbeats, so that the entry can tell an idle stream from a dead connection.
func (a *Agent) sendEvents(ctx context.Context, j *job, offset int, out *connect.ServerStream[keelv1.GenerateResponse]) error {
	a.runner.attach(j)
	defer func() { a.runner.detach(j, time.Now()) }()
	if !j.buffer.CanReadFrom(offset) {
		return a.sendRefusal(out, streamLostRefusal())
	}
	interval := settings.Millis(a.settings.Stream.HeartbeatMS)
	heartbeat := time.NewTimer(interval)
	defer heartbeat.Stop()
	for first := true; ; {
		tokens, finish, changed := j.buffer.TokensFrom(offset)
		build := ""
		if first && len(tokens) > 0 {
			build, first = a.runner.buildOf(j), false
		}
		if err := sendTokens(out, tokens, offset, build); err != nil {
			return err
		}
		offset += len(tokens)
		if finish != nil {
			return a.sendFinish(out, offset, *finish)
		}
		heartbeat.Reset(interval)
		select {
		case <-changed:
		case <-heartbeat.C:
			if err := out.Send(&keelv1.GenerateResponse{Event: &keelv1.GenerateResponse_Heartbeat{Heartbeat: &keelv1.Heartbeat{}}}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendTokens sends tokens, the first of them with build.
func sendTokens(out *connect.ServerStream[keelv1.GenerateResponse], tokens []string, offset int, build string) error {
	for i, text := range tokens {
		token := &keelv1.Token{Offset: uint32(offset + i), Text: text}
		if i == 0 {
			token.Build = build
		}
		if err := out.Send(&keelv1.GenerateResponse{Event: &keelv1.GenerateResponse_Token{Token: token}}); err != nil {
			return err
		}
	}
	return nil
}

func (a *Agent) sendFinish(out *connect.ServerStream[keelv1.GenerateResponse], offset int, f stream.Finish) error {
	if f.Err != nil {
		return a.sendRefusal(out, refusal.From(f.Err))
	}
	return out.Send(&keelv1.GenerateResponse{Event: &keelv1.GenerateResponse_Finish{Finish: &keelv1.Finish{
		Offset:           uint32(offset),
		Reason:           f.Reason,
		PromptTokens:     uint32(f.PromptTokens),
		CachedTokens:     uint32(f.CachedTokens),
		CompletionTokens: uint32(f.CompletionTokens),
		WeightsVersion:   f.WeightsVersion,
	}}})
}

func streamLostRefusal() *refusal.Error {
	e := refusal.New(refusal.ResumeUnavailable, "the stream goes on at another runner", "this agent has lost the stream")
	e.Outcome = refusal.Unknown
	return e
}

// findOrAdopt returns the job whose stream an entry resumes. An agent that has
// restarted does not know the job, but the engine may still run it: the agent then
// resumes the engine's stream at the entry's offset.
func (r *runner) findOrAdopt(ctx context.Context, req *keelv1.GenerateRequest) (*job, *refusal.Error) {
	id := jobID(req.Customer, req.RequestId, req.Attempt)
	r.mu.Lock()
	j := r.jobs[id]
	stopping := r.stopping
	r.mu.Unlock()
	if j != nil {
		return j, nil
	}
	if stopping {
		return nil, streamLostRefusal()
	}
	s, err := r.resume(context.WithoutCancel(ctx), id, int(req.Offset))
	if err != nil {
		return nil, adoptRefusal(err)
	}
	r.metrics.adopted.Inc()
	return r.adoptStream(req, s), nil
}

func adoptRefusal(err error) *refusal.Error {
	if errors.Is(err, target.ErrStreamNotFound) {
		return streamLostRefusal()
	}
	return streamBrokenRefusal(err)
}

// adoptStream registers a job for an engine stream that is already running. If the job
// was registered in the meantime, it closes the stream and returns that job.
func (r *runner) adoptStream(req *keelv1.GenerateRequest, s *target.Stream) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := jobID(req.Customer, req.RequestId, req.Attempt)
	if other := r.jobs[id]; other != nil {
		s.Close()
		return other
	}
	now := time.Now()
	j := newJob(req, int(req.Offset), now)
	j.phase = decoding
	j.dispatchedAt = now
	// The boot on which the engine started this request is unknown, so its blocks are
	// not counted as cached.
	j.bootID = ""
	r.running++
	r.jobs[id] = j
	go r.bufferStream(j, s)
	return j
}
