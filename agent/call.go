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

// callExecutor makes the calls to the plain service beside the agent. mu guards the
// fields after it.
type callExecutor struct {
	service     *target.Service
	claims      *claimStore
	started     time.Time
	margin      time.Duration
	incarnation string
	slots       int
	metrics     *metrics
	// homeStatus reports whether this agent is the home of a key, that is the first
	// choice among the configured targets, and since when these targets have been
	// unchanged.
	homeStatus func(k ledger.Key) (bool, time.Time)

	mu     sync.Mutex
	ledger *ledger.Ledger
	// history is the number of the history of the platform's service that the claims are in;
	// replacedAt is when it began, zero for the first.
	history    int
	replacedAt time.Time
	running    int
	stopping   bool
}

// defaultCallTimeout applies to calls without a deadline.
const defaultCallTimeout = 10 * time.Second

// claimTimeout bounds the time to claim or release one call.
const claimTimeout = 3 * time.Second

func (c *callExecutor) call(ctx context.Context, req *keelv1.CallRequest) *keelv1.CallResponse {
	if req.RequireIncarnation != "" && req.RequireIncarnation != c.incarnation {
		return c.refuse(refusal.New(refusal.AgentRestarted, "send to the process that is there now", "the process that was meant is gone"))
	}
	if req.Idempotent {
		return c.callIdempotent(ctx, req)
	}
	return c.callAtMostOnce(ctx, req)
}

func (c *callExecutor) refuse(r *refusal.Error) *keelv1.CallResponse {
	return &keelv1.CallResponse{Refusal: encodeRefusal(r), Incarnation: c.incarnation}
}

func (c *callExecutor) acquireSlot() *refusal.Error {
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

func (c *callExecutor) releaseSlot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
}

func callTimeout(req *keelv1.CallRequest) time.Duration {
	if req.DeadlineMs == 0 {
		return defaultCallTimeout
	}
	return time.Duration(req.DeadlineMs) * time.Millisecond
}

func (c *callExecutor) callIdempotent(ctx context.Context, req *keelv1.CallRequest) *keelv1.CallResponse {
	if r := c.acquireSlot(); r != nil {
		return c.refuse(r)
	}
	defer c.releaseSlot()
	ctx, cancel := context.WithTimeout(ctx, callTimeout(req))
	defer cancel()
	answer, err := c.service.Do(ctx, serviceCall(req))
	if err != nil {
		return c.refuse(callRefusal(err))
	}
	return c.answerResponse(ledger.Answer(answer), false)
}

func serviceCall(req *keelv1.CallRequest) target.Call {
	return target.Call{
		RequestID:      req.RequestId,
		Method:         req.Method,
		Path:           req.Path,
		ContentType:    req.ContentType,
		Body:           req.Body,
		IdempotencyKey: req.IdempotencyKey,
	}
}

func (c *callExecutor) answerResponse(a ledger.Answer, replayed bool) *keelv1.CallResponse {
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

// callAtMostOnce makes a call that must not be repeated. It is sent at most once for
// each key, however many attempts arrive.
func (c *callExecutor) callAtMostOnce(ctx context.Context, req *keelv1.CallRequest) *keelv1.CallResponse {
	key := ledgerKey(req)
	c.mu.Lock()
	decision, record := c.ledger.Begin(key, ledger.Attempt{RequestID: req.RequestId, Number: req.Attempt}, bodyHash(req), time.Now())
	c.mu.Unlock()
	c.metrics.calls.WithLabelValues(string(decision)).Inc()
	switch decision {
	case ledger.Run:
		// The call continues if its entry disconnects, because later attempts with the
		// same key need its outcome.
		go c.sendOnce(context.WithoutCancel(ctx), req, key, record)
		return c.join(ctx, key, record, false)
	case ledger.Join:
		return c.join(ctx, key, record, true)
	case ledger.Replay:
		return c.answerResponse(record.Answer, true)
	case ledger.RefuseKeyReused:
		return c.refuse(refusal.New(refusal.KeyReused, "use a new Idempotency-Key for a new call", "this Idempotency-Key came with another call before"))
	case ledger.RefuseAbandoned:
		return c.refuse(refusal.New(refusal.AttemptAbandoned, "send the call again", "this attempt was given up as not run"))
	case ledger.RefuseFull:
		full := refusal.New(refusal.LedgerFull, "come back after the time in Retry-After", "the ledger of calls is full").WithRetryAfter(time.Second)
		return c.refuse(c.refusalOfCall(full, req, key))
	}
	return c.refuse(refusal.NewUnknown("the answer to this call was lost"))
}

// join waits for a running call to end and returns its outcome.
func (c *callExecutor) join(ctx context.Context, key ledger.Key, record *ledger.Record, replayed bool) *keelv1.CallResponse {
	for {
		c.mu.Lock()
		done := record.Done
		c.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return c.refuse(refusal.NewUnknown("the call still runs; ask again with the same Idempotency-Key"))
		}
		if answer := c.outcome(key, record, replayed); answer != nil {
			return answer
		}
		// Another attempt with the key has begun the call again.
		replayed = true
	}
}

// outcome returns the outcome of a call that has ended, or nil if it runs again.
func (c *callExecutor) outcome(key ledger.Key, record *ledger.Record, replayed bool) *keelv1.CallResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch record.State {
	case ledger.Running:
		return nil
	case ledger.Done:
		return c.answerResponse(record.Answer, replayed)
	case ledger.Unknown:
		return c.refuse(refusal.NewUnknown("the answer to this call was lost"))
	}
	if !c.ledger.IsCurrent(key, record) {
		return c.refuse(refusal.NewUnknown("the call was withdrawn and begun again"))
	}
	return c.notRunResponse(record)
}

// sendOnce obtains the permission to send a call, sends it once and records the
// outcome.
func (c *callExecutor) sendOnce(ctx context.Context, req *keelv1.CallRequest, key ledger.Key, record *ledger.Record) {
	if r := c.acquireSlot(); r != nil {
		r = c.refusalOfCall(r, req, key)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.recordNotSent(key, record, r, claim{})
		return
	}
	recordOutcome := c.sendInSlot(ctx, req, key, record)
	c.mu.Lock()
	defer c.mu.Unlock()
	// The slot is released together with the outcome: a caller that has its answer may send the
	// next call at once.
	c.running--
	recordOutcome()
}

// sendInSlot sends a call that holds a slot and returns the function that records its outcome,
// which is called with mu held.
func (c *callExecutor) sendInSlot(ctx context.Context, req *keelv1.CallRequest, key ledger.Key, record *ledger.Record) func() {
	claimed, holder, r := c.permit(ctx, req, key, record)
	if r != nil {
		return func() { c.recordNotSent(key, record, r, holder) }
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout(req))
	defer cancel()
	answer, err := c.service.Do(ctx, serviceCall(req))
	switch {
	case errors.Is(err, target.ErrNotSent):
		// The record stays in state Running until the claim is released, so that no
		// other attempt starts the call here in the meantime.
		c.releaseClaim(context.WithoutCancel(ctx), key, record, claimed)
		return func() { c.recordNotSent(key, record, callRefusal(err), claim{}) }
	case err != nil:
		return func() { c.ledger.MarkUnknown(key, time.Now()) }
	}
	return func() { c.ledger.Finish(key, ledger.Answer(answer), time.Now()) }
}

// unsentRefusal is stored in the record of a call that was not sent, for the attempts
// that joined it. holder is the owner of the claim if another agent has it.
type unsentRefusal struct {
	refusal *refusal.Error
	holder  claim
}

// recordNotSent ends the record of a call that this process did not send. The call
// counts as not run only if the refusal says so. mu must be held.
func (c *callExecutor) recordNotSent(key ledger.Key, record *ledger.Record, r *refusal.Error, holder claim) {
	record.Refusal = unsentRefusal{refusal: r, holder: holder}
	if r.Outcome == refusal.NotRun {
		c.ledger.MarkNotRun(key, time.Now())
		return
	}
	c.ledger.MarkUnsent(key, time.Now())
}

func (c *callExecutor) notRunResponse(record *ledger.Record) *keelv1.CallResponse {
	r := record.Refusal.(unsentRefusal)
	answer := c.refuse(r.refusal)
	answer.HolderTarget = r.holder.Target
	answer.HolderIncarnation = r.holder.Incarnation
	return answer
}

// abandon settles an attempt whose answer its entry has lost. Only the incarnation to
// which the attempt was sent can tell that it did not run; any other returns Unknown.
func (c *callExecutor) abandon(req *keelv1.AbandonRequest) ledger.State {
	if req.RequireIncarnation != c.incarnation {
		return ledger.Unknown
	}
	key := ledger.Key{Customer: req.Customer, Service: req.Service, IdempotencyKey: req.IdempotencyKey}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Abandon(key, ledger.Attempt{RequestID: req.RequestId, Number: req.Attempt}, time.Now())
}

func (c *callExecutor) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Expire(now)
}

func (c *callExecutor) active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

func (c *callExecutor) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
}
