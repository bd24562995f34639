package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/httpbody"
	"acaciakeel/refusal"
	"acaciakeel/responsebuffer"
	"acaciakeel/retry"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	refused *refusal.Error
	reason  retry.Reason
	// retryable is set if another target may succeed.
	retryable bool
	// ended is set if the target has ended its work on the request by its own word: it has
	// closed the connection in order.
	ended bool
	// response is an error response of the target, forwarded if no retry succeeds.
	response *bufferedResponse
}

// bufferedResponse is a complete response that has not been forwarded yet.
type bufferedResponse struct {
	response *Response
	chunks   [][]byte
}

// length returns the number of bytes of the body.
func (b *bufferedResponse) length() int64 {
	n := int64(0)
	for _, chunk := range b.chunks {
		n += int64(len(chunk))
	}
	return n
}

// succeeded is the result of an attempt whose response was forwarded completely.
var succeeded = attemptResult{}

// loadOrderBackoff is the time for which a runner that refuses requests because of a load
// order gets none. Finishing its runs and loading takes longer, but the backoff ends early
// when the runner reports its new weights.
const loadOrderBackoff = 600 * time.Millisecond

// queueFullBackoff is the time for which a target with a full queue gets no requests: about
// one batch step.
const queueFullBackoff = 30 * time.Millisecond

const (
	// refusalTimeout is how long the body of a refusal may take after its header, which is sent
	// with it; links take milliseconds.
	refusalTimeout = 500 * time.Millisecond
	// maxRefusalBytes is the maximum size of that body, which holds an error message.
	maxRefusalBytes = 64 << 10
)

// readRefusal reads a refusal to its end. cancel ends the attempt.
func readRefusal(resp *Response, cancel context.CancelFunc) error {
	timer := time.AfterFunc(refusalTimeout, cancel)
	defer timer.Stop()
	return httpbody.Discard(&http.Response{Body: resp.Body, ContentLength: resp.ContentLength}, maxRefusalBytes)
}

// handleRefusal handles a response which states that the target did not run the request. One that
// breaks off is none: what a target truncates belongs to no request.
func (s *session) handleRefusal(ctx context.Context, cancel context.CancelFunc, choice fleet.Choice, resp *Response) attemptResult {
	s.guard.stop()
	if err := readRefusal(resp, cancel); err != nil {
		s.executions++
		if malformed, ok := malformedResponse(err); ok {
			return s.handleMalformed(choice, malformed)
		}
		s.recordInterruption(ctx, choice)
		return s.brokeOff(retry.Interrupted, choice, err)
	}
	s.recordHeader(choice, resp)
	return s.handleNotRun(choice, resp)
}

// handleNotRun handles a request that the target did not run.
func (s *session) handleNotRun(choice fleet.Choice, resp *Response) attemptResult {
	now := time.Now()
	f := s.router.fleet
	kind := refusal.QueueFull
	switch {
	case resp.Misdirected && resp.InstanceID != "" && resp.InstanceID != choice.Target.ID:
		f.RecordEnd(choice.Target.Instance())
		kind = refusal.TargetNotReady
	case resp.Misdirected:
		s.correctWeights(choice, resp)
		kind = refusal.TargetNotReady
	case choice.WeightsVersion < f.DesiredVersion(s.in.Model):
		f.RecordBusy(choice.Target.Instance(), now.Add(loadOrderBackoff))
		kind = refusal.TargetNotReady
	default:
		f.RecordBusy(choice.Target.Instance(), now.Add(queueFullBackoff))
	}
	refused := refusal.New(kind, "come back after the time in Retry-After", "target %s did not take the request (status %d)", choice.Target.ID, resp.Status).WithRetryAfter(defaultRetryAfter)
	return attemptResult{refused: refused, reason: retry.TargetUnavailable, retryable: true}
}

// correctWeights corrects the recorded weights of a runner that refused a request because its
// weights differ. If the response names no version, the runner has most likely just loaded
// the newest one.
func (s *session) correctWeights(choice fleet.Choice, resp *Response) {
	f := s.router.fleet
	if resp.WeightsVersion == 0 {
		f.GuessWeights(choice.Target.Instance(), s.in.Model)
		return
	}
	f.RecordAnsweredWeights(choice.Target.Instance(), s.in.Model, resp.WeightsVersion, s.sentAt, time.Now())
}

// handleSendError handles an attempt that got no response.
func (s *session) handleSendError(ctx context.Context, choice fleet.Choice, err error) attemptResult {
	var sendErr *SendError
	sent := !errors.As(err, &sendErr) || sendErr.Sent
	if sent && s.guard.hasExpired() {
		s.executions++
		return s.handleWithdrawn(choice)
	}
	if sent && s.unresponsive.Load() {
		s.executions++
		return s.handleUnresponsive(choice)
	}
	if sent && sendErr != nil && sendErr.HeadBytes > 0 {
		s.executions++
		return s.handleOversized(choice, &oversizedError{partHead, sendErr.HeadBytes})
	}
	if malformed, ok := malformedResponse(err); ok && sent {
		s.executions++
		return s.handleMalformed(choice, malformed)
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled), s.guard.hasExpired():
		// The client disconnected or the guard withdrew the attempt: neither says anything
		// about the health of the target.
	case !sent && sendErr.Connected && errors.Is(err, context.DeadlineExceeded):
		// The kernel takes the first bytes of a request on an open connection at once: this process
		// did not get to write them in time, which says nothing about the target either.
	case sent, ctx.Err() != nil:
		// If the deadline of the client cut the attempt off, it is not known whether the
		// target is reachable.
		s.router.fleet.RecordFailure(choice.Target.Instance(), time.Now())
	default:
		s.router.fleet.RecordUnreachable(choice.Target.Instance(), time.Now())
	}
	if !sent && s.router.poison.AwaitsEvidence(choice.Target.Instance()) {
		s.router.detector.probe(choice.Target)
	}
	if !sent {
		s.active.NotSent()
		refused := refusal.New(refusal.NoTarget, "come back after the time in Retry-After", "target %s can't be reached: %v", choice.Target.ID, err).WithRetryAfter(defaultRetryAfter)
		return attemptResult{refused: refused, reason: retry.Unreachable, retryable: true}
	}
	s.executions++
	s.recordBrokenResponse(choice, err)
	out := s.outcomeUnknown(retry.Interrupted, "target %s did not answer: %v", choice.Target.ID, err)
	out.ended = sendErr != nil && sendErr.ClosedByTarget
	return out
}

// recordInterruption records that a response broke off. If the client has disconnected, the entry
// ended it, which says nothing about the health of the target.
func (s *session) recordInterruption(clientCtx context.Context, choice fleet.Choice) {
	if !errors.Is(clientCtx.Err(), context.Canceled) {
		s.router.fleet.RecordFailure(choice.Target.Instance(), time.Now())
	}
}

// outcomeUnknown returns the result of an attempt that may have run but left no response to
// forward.
func (s *session) outcomeUnknown(reason retry.Reason, format string, args ...any) attemptResult {
	refused := refusal.New(refusal.TargetFailed, "look the result up, or send again what may be repeated", format, args...)
	refused.Outcome = refusal.Unknown
	return attemptResult{refused: refused, reason: reason, retryable: s.repeatable()}
}

// brokeOff returns the result of an attempt whose response ended early with an error.
func (s *session) brokeOff(reason retry.Reason, choice fleet.Choice, err error) attemptResult {
	out := s.outcomeUnknown(reason, "the response of target %s broke off: %v", choice.Target.ID, err)
	// A reset may come from elsewhere on the way.
	out.ended = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	return out
}

// repeatable reports whether another target may run the request after an attempt that may
// have run.
func (s *session) repeatable() bool {
	return s.in.route.Repeatable() && s.executions < s.in.route.Attempts
}

// MaxHeldResponse is the limit for what a response holds while its client reads slowly: the
// largest plain response, or as much of a stream, whose buffers may be a quarter too large, and one
// event.
const MaxHeldResponse = maxResponseBytes + maxResponseBytes/4 + maxEventBytes

// forwardWhole buffers the whole response before it forwards it, so that a response that
// breaks off can still be retried or reported as a failure.
func (s *session) forwardWhole(clientCtx context.Context, choice fleet.Choice, resp *Response) attemptResult {
	chunks, err := s.readBody(resp)
	if err == io.EOF {
		err = s.settleWholeEnd(clientCtx, choice, resp, len(chunks) == 0)
	}
	s.recordEnd(err, 0)
	if err != io.EOF && s.unresponsive.Load() {
		return s.handleUnresponsive(choice)
	}
	var oversized *oversizedError
	if errors.As(err, &oversized) {
		return s.handleOversized(choice, oversized)
	}
	if malformed, ok := malformedResponse(err); ok {
		return s.handleMalformed(choice, malformed)
	}
	if err != io.EOF {
		s.recordInterruption(clientCtx, choice)
		s.recordBrokenResponse(choice, err)
		return s.brokeOff(retry.Interrupted, choice, err)
	}
	if resp.Status >= 500 && s.in.route.Kind == catalog.Idempotent {
		return attemptResult{reason: retry.Interrupted, retryable: s.repeatable(), response: &bufferedResponse{resp, chunks}}
	}
	s.router.fleet.RecordSuccess(choice.Target.Instance())
	if resp.Status < 300 {
		s.router.poison.RecordSuccess(s.in.content, time.Now())
		s.router.poison.RecordPartsServed(s.in.parts, choice.Target.Instance(), time.Now())
	}
	s.leaveTarget()
	if refused := s.writeWhole(&bufferedResponse{resp, chunks}); refused != nil {
		return attemptResult{refused: refused}
	}
	return succeeded
}

// leaveTarget counts the request out at its target, whose response has been read to its end. The
// client may have the whole response, and send its next request, before writing it has returned.
func (s *session) leaveTarget() {
	s.active.End()
	s.tracked.LeftTarget()
}

// writeWhole writes a buffered response to the client.
func (s *session) writeWhole(b *bufferedResponse) *refusal.Error {
	if s.in.Method != http.MethodHead {
		// The length that answers HEAD is that of a body which is not sent.
		b.response.ContentLength = b.length()
	}
	s.headerWritten, s.status = true, b.response.Status
	if err := s.writer.WriteHeader(b.response); err != nil {
		return clientGone(err)
	}
	// The writer counts from now on what it keeps.
	s.held.Release()
	for _, chunk := range b.chunks {
		if err := s.writer.Write(chunk); err != nil {
			return clientGone(err)
		}
	}
	return nil
}

// awaitDelivery waits until the client has been sent the response, after its target has been
// read to the end.
func (s *session) awaitDelivery() *refusal.Error {
	if err := s.writer.Finish(); err != nil {
		return clientGone(err)
	}
	return nil
}

func clientGone(err error) *refusal.Error {
	out := refusal.New(refusal.Interrupted, "none", "the client left: %v", err)
	var aborted *responsebuffer.AbortError
	if errors.As(err, &aborted) && aborted.Reason != responsebuffer.ClientLeft {
		out = refusal.New(refusal.Interrupted, "read faster; resume after the last event, where the route allows it", "the response was aborted: %v", err)
	}
	out.Outcome = refusal.Ran
	return out
}
