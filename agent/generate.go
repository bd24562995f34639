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

// Generate implements AgentServiceHandler: it runs a model request, or
// attaches to one that is known, and sends its events from an offset.
func (a *Agent) Generate(ctx context.Context, req *connect.Request[keelv1.GenerateRequest], out *connect.ServerStream[keelv1.GenerateResponse]) error {
	a.follower.Hint(int64(req.Msg.ConfigRevision))
	if a.runner == nil {
		return a.sendRefusal(out, refusal.New(refusal.NoTarget, "check the Target resource", "this agent's target is no engine"))
	}
	j, refused := a.job(ctx, req.Msg)
	if refused != nil {
		return a.sendRefusal(out, refused)
	}
	return a.sendEvents(ctx, j, int(req.Msg.Offset), out)
}

func (a *Agent) job(ctx context.Context, req *keelv1.GenerateRequest) (*job, *refusal.Error) {
	if req.AttachOnly {
		return a.runner.adopt(ctx, req)
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

// sendEvents sends a job's events from offset on, and a heartbeat whenever
// there was none for a while, so that the entry can tell an idle stream from
// a connection that has gone silent.
func (a *Agent) sendEvents(ctx context.Context, j *job, offset int, out *connect.ServerStream[keelv1.GenerateResponse]) error {
	a.runner.attach(j)
	defer func() { a.runner.detach(j, time.Now()) }()
	if !j.buffer.CanReadFrom(offset) {
		return a.sendRefusal(out, lostRefusal())
	}
	interval := settings.Millis(a.settings.Stream.HeartbeatMS)
	heartbeat := time.NewTimer(interval)
	defer heartbeat.Stop()
	for {
		tokens, finish, changed := j.buffer.TokensFrom(offset)
		if err := sendTokens(out, tokens, offset); err != nil {
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

func sendTokens(out *connect.ServerStream[keelv1.GenerateResponse], tokens []string, offset int) error {
	for i, text := range tokens {
		token := &keelv1.Token{Offset: uint32(offset + i), Text: text}
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

func lostRefusal() *refusal.Error {
	e := refusal.New(refusal.ResumeUnavailable, "the stream goes on at another runner", "this agent has lost the stream")
	e.Outcome = refusal.Unknown
	return e
}

// adopt returns the job that an entry wants to go on reading. An agent that
// was restarted has no such job, but its engine may still run it: then the
// stream is taken over from the engine at the entry's offset.
func (r *runner) adopt(ctx context.Context, req *keelv1.GenerateRequest) (*job, *refusal.Error) {
	id := jobID(req.Customer, req.RequestId, req.Attempt)
	r.mu.Lock()
	j := r.jobs[id]
	stopping := r.stopping
	r.mu.Unlock()
	if j != nil {
		return j, nil
	}
	if stopping {
		return nil, lostRefusal()
	}
	s, err := r.engine.Resume(context.WithoutCancel(ctx), id, int(req.Offset))
	if err != nil {
		return nil, adoptRefusal(err)
	}
	r.metrics.adopted.Inc()
	return r.takeOver(req, s), nil
}

func adoptRefusal(err error) *refusal.Error {
	if errors.Is(err, target.ErrStreamNotFound) {
		return lostRefusal()
	}
	return brokenRefusal(err)
}

// takeOver registers a job whose engine stream is already running.
func (r *runner) takeOver(req *keelv1.GenerateRequest, s *target.Stream) *job {
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
	j.dispatched = now
	// Nothing is claimed of this request's blocks: its boot is not known here.
	j.bootID = ""
	r.running++
	r.jobs[id] = j
	go r.feed(j, s)
	return j
}
