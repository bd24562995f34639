package router

import (
	"context"
	"errors"
	"io"
	"time"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/refusal"
	"acaciakeel/retry"
)

// result is how one send ended.
type result struct {
	refused *refusal.Error
	reason  retry.Reason
	// again is set where another target may do better.
	again bool
	// answer is a failure of the target's own, passed on if nothing better comes.
	answer *held
}

// held is a whole answer that waits to be passed on.
type held struct {
	head *Response
	body []byte
}

// done is the result of an answer that was passed on whole.
var done = result{}

// orderPause is for how long a runner that refuses because of an order is left
// alone: it ends its runs and loads for longer, and news of its weights ends the
// pause.
const orderPause = 600 * time.Millisecond

// fullPause is for how long a full target is left alone: about one step of a batch.
const fullPause = 30 * time.Millisecond

// notRun handles answers by which the target did not run the request.
func (s *session) notRun(choice fleet.Choice, a *Response) (result, bool) {
	if !a.NotRun {
		return result{}, false
	}
	now := time.Now()
	f := s.router.fleet
	kind := refusal.QueueFull
	switch {
	case a.Misdirected && a.InstanceID != "" && a.InstanceID != choice.Target.ID:
		f.RecordEnd(choice.Target.Instance())
		kind = refusal.TargetNotReady
	case a.Misdirected:
		s.misjudged(choice, a)
		kind = refusal.TargetNotReady
	case choice.WeightsVersion < f.DesiredVersion(s.in.Model):
		f.RecordBusy(choice.Target.Instance(), now.Add(orderPause))
		kind = refusal.TargetNotReady
	default:
		f.RecordBusy(choice.Target.Instance(), now.Add(fullPause))
	}
	refused := refusal.New(kind, "come back after the time in Retry-After", "target %s did not take the request (status %d)", choice.Target.ID, a.Status).WithRetryAfter(retryAfter)
	return result{refused: refused, reason: retry.TargetUnavailable, again: true}, true
}

// misjudged corrects the belief in a runner's weights after it said that they
// are others: where it does not say which, it has most likely just loaded the
// newest.
func (s *session) misjudged(choice fleet.Choice, a *Response) {
	f := s.router.fleet
	if a.WeightsVersion == 0 {
		f.GuessWeights(choice.Target.Instance(), s.in.Model)
		return
	}
	f.RecordWeights(choice.Target.Instance(), s.in.Model, a.WeightsVersion, time.Now())
}

// unanswered handles a send without an answer.
func (s *session) unanswered(ctx context.Context, choice fleet.Choice, err error) result {
	var send *SendError
	sent := !errors.As(err, &send) || send.Sent
	if sent && s.waits.took() {
		s.ran++
		return s.takenBack(choice)
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled), s.waits.took():
		// The client left, or the send was given up, which says nothing of the target.
	case sent, ctx.Err() != nil:
		// A send that was cut by the end of the client's time leaves open whether
		// the target can be reached.
		s.router.fleet.RecordFailure(choice.Target.Instance(), time.Now())
	default:
		s.router.fleet.RecordUnreachable(choice.Target.Instance(), time.Now())
	}
	if !sent && s.router.poison.AwaitsEvidence(choice.Target.Instance()) {
		s.router.endings.ask(choice.Target)
	}
	if !sent {
		s.ticket.NotSent()
		refused := refusal.New(refusal.NoTarget, "come back after the time in Retry-After", "target %s can't be reached: %v", choice.Target.ID, err).WithRetryAfter(retryAfter)
		return result{refused: refused, reason: retry.Unreachable, again: true}
	}
	s.ran++
	s.brokeOff(choice, err)
	return s.lost(retry.Interrupted, "target %s did not answer: %v", choice.Target.ID, err)
}

// lost is the result of a send that may have run and has no answer to pass on.
func (s *session) lost(reason retry.Reason, format string, args ...any) result {
	refused := refusal.New(refusal.TargetFailed, "look the result up, or send again what may be repeated", format, args...)
	refused.Outcome = refusal.Unknown
	return result{refused: refused, reason: reason, again: s.repeatable()}
}

// repeatable reports whether another target may run the request too.
func (s *session) repeatable() bool {
	return s.in.route.Repeatable() && s.ran < s.in.route.Attempts
}

// maxAnswer bounds the body of an answer that is held whole, in bytes.
const maxAnswer = 8 << 20

// whole reads a whole answer before it is passed on, so that one that breaks
// off can still become a retry or a clear failure.
func (s *session) whole(choice fleet.Choice, a *Response) result {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		s.router.fleet.RecordFailure(choice.Target.Instance(), time.Now())
		s.brokeOff(choice, err)
		return s.lost(retry.Interrupted, "the answer of target %s broke off: %v", choice.Target.ID, err)
	}
	if a.Status >= 500 && s.in.route.Kind == catalog.Idempotent {
		return result{reason: retry.Interrupted, again: s.repeatable(), answer: &held{a, body}}
	}
	s.router.fleet.RecordSuccess(choice.Target.Instance())
	if a.Status < 300 {
		s.router.poison.RecordSuccess(s.in.content, time.Now())
	}
	if refused := s.pass(&held{a, body}); refused != nil {
		return result{refused: refused}
	}
	return done
}

// pass writes a whole answer.
func (s *session) pass(h *held) *refusal.Error {
	h.head.ContentLength = int64(len(h.body))
	s.begun, s.status = true, h.head.Status
	if err := s.reply.WriteHeader(h.head); err != nil {
		return clientLeft(err)
	}
	if err := s.reply.Write(h.body); err != nil {
		return clientLeft(err)
	}
	return nil
}

func clientLeft(err error) *refusal.Error {
	out := refusal.New(refusal.Interrupted, "none", "the client left: %v", err)
	out.Outcome = refusal.Ran
	return out
}
