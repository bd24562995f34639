package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/ledger"
	"acaciakeel/refusal"
	"acaciakeel/target"
)

// caller makes calls of the plain service beside the agent. Its mutex guards
// the ledger and the counts.
type caller struct {
	service     *target.Service
	claims      *claims
	started     time.Time
	margin      time.Duration
	incarnation string
	slots       int
	metrics     *metrics
	// home reports whether this agent is the first choice for a key among the
	// configured targets, and since when those targets are the same.
	home func(k ledger.Key) (bool, time.Time)

	mu       sync.Mutex
	ledger   *ledger.Ledger
	running  int
	stopping bool
}

// defaultCallTimeout serves calls whose entry gave no deadline.
const defaultCallTimeout = 10 * time.Second

// claimTimeout bounds the claiming of one call.
const claimTimeout = 3 * time.Second

func (c *caller) call(ctx context.Context, req *keelv1.CallRequest) *keelv1.CallResponse {
	if req.RequireIncarnation != "" && req.RequireIncarnation != c.incarnation {
		return c.refuse(refusal.New(refusal.AgentRestarted, "send to the process that is there now", "the process that was meant is gone"))
	}
	if req.Idempotent {
		return c.callIdempotent(ctx, req)
	}
	return c.callOnce(ctx, req)
}

func (c *caller) refuse(r *refusal.Error) *keelv1.CallResponse {
	return &keelv1.CallResponse{Refusal: encodeRefusal(r), Incarnation: c.incarnation}
}

func (c *caller) enter() *refusal.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return refusal.New(refusal.Stopping, "send to another entry or again at once", "the agent is stopping")
	}
	if c.running >= c.slots {
		return refusal.New(refusal.QueueFull, "come back after the time in Retry-After", "all %d slots of the service are busy", c.slots).WithRetryAfter(time.Second)
	}
	c.running++
	return nil
}

func (c *caller) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
}

func timeout(req *keelv1.CallRequest) time.Duration {
	if req.DeadlineMs == 0 {
		return defaultCallTimeout
	}
	return time.Duration(req.DeadlineMs) * time.Millisecond
}

func (c *caller) callIdempotent(ctx context.Context, req *keelv1.CallRequest) *keelv1.CallResponse {
	if r := c.enter(); r != nil {
		return c.refuse(r)
	}
	defer c.leave()
	ctx, cancel := context.WithTimeout(ctx, timeout(req))
	defer cancel()
	answer, err := c.service.Do(ctx, serviceCall(req))
	if err != nil {
		return c.refuse(callRefusal(err))
	}
	return c.answered(ledger.Answer(answer), false)
}

func serviceCall(req *keelv1.CallRequest) target.Call {
	return target.Call{
		RequestID:      req.RequestId,
		Method:         req.Method,
		Path:           req.Path,
		ContentType:    req.ContentType,
		Body:           req.Body,
		IdempotencyKey: req.IdempotencyKey,
		NoResend:       !req.Idempotent,
	}
}

func (c *caller) answered(a ledger.Answer, replayed bool) *keelv1.CallResponse {
	return &keelv1.CallResponse{
		Status:      uint32(a.Status),
		ContentType: a.ContentType,
		Body:        a.Body,
		Replayed:    replayed,
		Incarnation: c.incarnation,
	}
}

func callRefusal(err error) *refusal.Error {
	if errors.Is(err, target.ErrNotSent) {
		return refusal.New(refusal.TargetFailed, "another target takes the call", "%v", err)
	}
	return refusal.NewUnknown("the service's answer was lost: %v", err)
}

func ledgerKey(req *keelv1.CallRequest) ledger.Key {
	return ledger.Key{Customer: req.Customer, Service: req.Service, IdempotencyKey: req.IdempotencyKey}
}

func bodyHash(req *keelv1.CallRequest) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(req.Method + "\x00" + req.Path + "\x00")
	_, _ = d.Write(req.Body)
	return d.Sum64()
}

// callOnce makes a call that may not be repeated: one send for each key,
// whoever asks and however often.
func (c *caller) callOnce(ctx context.Context, req *keelv1.CallRequest) *keelv1.CallResponse {
	key := ledgerKey(req)
	c.mu.Lock()
	verdict, record := c.ledger.Begin(key, ledger.Attempt{RequestID: req.RequestId, Number: req.Attempt}, bodyHash(req), time.Now())
	c.mu.Unlock()
	c.metrics.calls.WithLabelValues(string(verdict)).Inc()
	switch verdict {
	case ledger.Run:
		// The call goes on when its entry is gone: its outcome must be known
		// to whoever asks next.
		go c.runOnce(context.WithoutCancel(ctx), req, key, record)
		return c.join(ctx, key, record, false)
	case ledger.Join:
		return c.join(ctx, key, record, true)
	case ledger.Replay:
		return c.answered(record.Answer, true)
	case ledger.RefuseKeyReused:
		return c.refuse(refusal.New(refusal.KeyReused, "use a new Idempotency-Key for a new call", "this Idempotency-Key came with another call before"))
	case ledger.RefuseAbandoned:
		return c.refuse(refusal.New(refusal.AttemptAbandoned, "send the call again", "this attempt was given up as not run"))
	case ledger.RefuseFull:
		return c.refuse(refusal.New(refusal.LedgerFull, "come back after the time in Retry-After", "the ledger of calls is full").WithRetryAfter(time.Second))
	}
	return c.refuse(refusal.NewUnknown("the answer to this call was lost"))
}

// join waits for the end of a call that runs.
func (c *caller) join(ctx context.Context, key ledger.Key, record *ledger.Record, replayed bool) *keelv1.CallResponse {
	c.mu.Lock()
	done := record.Done
	c.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return c.refuse(refusal.NewUnknown("the call still runs; ask again with the same Idempotency-Key"))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch record.State {
	case ledger.Done:
		return c.answered(record.Answer, replayed)
	case ledger.Unknown:
		return c.refuse(refusal.NewUnknown("the answer to this call was lost"))
	}
	return c.notRun(record)
}

// runOnce claims a call and sends it once.
func (c *caller) runOnce(ctx context.Context, req *keelv1.CallRequest, key ledger.Key, record *ledger.Record) {
	if r := c.enter(); r != nil {
		c.notSent(key, record, r, claim{})
		return
	}
	defer c.leave()
	claimed, holder, r := c.permit(ctx, req, key, record)
	if r != nil {
		c.notSent(key, record, r, holder)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout(req))
	defer cancel()
	answer, err := c.service.Do(ctx, serviceCall(req))
	if errors.Is(err, target.ErrNotSent) {
		// The record still says Running, so nobody begins the call here while
		// its claim is being given up.
		c.releaseClaim(context.WithoutCancel(ctx), key, record, claimed)
		c.notSent(key, record, callRefusal(err), claim{})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.ledger.MarkUnknown(key, time.Now())
		return
	}
	c.ledger.Finish(key, ledger.Answer(answer), time.Now())
}

// refused is what the record of a call that was not sent keeps, for those
// who join it.
type refused struct {
	refusal *refusal.Error
	holder  claim
}

// notSent ends a record of a call that this process did not send.
func (c *caller) notSent(key ledger.Key, record *ledger.Record, r *refusal.Error, holder claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record.Refusal = refused{refusal: r, holder: holder}
	if r.Outcome == refusal.NotRun {
		c.ledger.MarkNotRun(key, time.Now())
		return
	}
	c.ledger.MarkUnsent(key, time.Now())
}

func (c *caller) notRun(record *ledger.Record) *keelv1.CallResponse {
	r, ok := record.Refusal.(refused)
	if !ok {
		return c.refuse(refusal.NewUnknown("the call was withdrawn and begun again"))
	}
	answer := c.refuse(r.refusal)
	answer.HolderTarget = r.holder.Target
	answer.HolderIncarnation = r.holder.Incarnation
	return answer
}

// abandon settles an attempt whose answer its entry has lost. Only the
// incarnation that the attempt was sent to can say that it did not run.
func (c *caller) abandon(req *keelv1.AbandonRequest) ledger.State {
	if req.RequireIncarnation != c.incarnation {
		return ledger.Unknown
	}
	key := ledger.Key{Customer: req.Customer, Service: req.Service, IdempotencyKey: req.IdempotencyKey}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Abandon(key, ledger.Attempt{RequestID: req.RequestId, Number: req.Attempt}, time.Now())
}

// claimLater claims the calls that ran without a claim while the platform's
// service was down.
func (c *caller) claimLater(ctx context.Context) {
	c.mu.Lock()
	keys := c.ledger.Unclaimed()
	c.mu.Unlock()
	for _, key := range keys {
		result, _, _ := c.claims.make(ctx, key)
		if result == claimFailed {
			return
		}
		c.mu.Lock()
		c.ledger.MarkClaimed(key)
		c.mu.Unlock()
	}
}

func (c *caller) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Expire(now)
}

func (c *caller) active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

func (c *caller) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
}
