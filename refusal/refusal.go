// Package refusal defines the typed errors that the API returns: the kind of error,
// whether the request ran, what the caller can do, and when to retry.
package refusal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Kind identifies why a request was refused. Each kind is a label value of the refusal
// counters and a section of docs/operating/refusals.md.
type Kind string

const (
	BadRequest        Kind = "bad_request"
	BodyTooLarge      Kind = "body_too_large"
	BodyLate          Kind = "body_late"
	HeaderTooLarge    Kind = "header_too_large"
	Unauthorized      Kind = "unauthorized"
	Forbidden         Kind = "forbidden"
	UnknownModel      Kind = "unknown_model"
	UnknownService    Kind = "unknown_service"
	NotFound          Kind = "not_found"
	Conflict          Kind = "conflict"
	InvalidResource   Kind = "invalid_resource"
	ContractExceeded  Kind = "contract_exceeded"
	QueueFull         Kind = "queue_full"
	DeadlineUnmet     Kind = "deadline_unmet"
	Stopping          Kind = "stopping"
	TargetNotReady    Kind = "target_not_ready"
	NoTarget          Kind = "no_target"
	TargetFailed      Kind = "target_failed"
	OutcomeUnknown    Kind = "outcome_unknown"
	PlatformDown      Kind = "platform_down"
	LedgerFull        Kind = "ledger_full"
	KeyReused         Kind = "key_reused"
	Canceled          Kind = "canceled"
	AttemptAbandoned  Kind = "attempt_abandoned"
	ResumeUnavailable Kind = "resume_unavailable"
	HeldElsewhere     Kind = "held_elsewhere"
	AgentRestarted    Kind = "agent_restarted"
	NotOwner          Kind = "not_home"
	TimedOut          Kind = "timed_out"
	Interrupted       Kind = "interrupted"
	// CrashesTargets: targets crashed while running earlier requests with the same
	// content. SuspectInProgress: one target did, and another request with that content
	// is still running.
	CrashesTargets    Kind = "ends_targets"
	SuspectInProgress Kind = "suspect_under_way"
	// WeightsReplaced: the request was still waiting at its target when the weights
	// there became too old to start on, and was withdrawn.
	WeightsReplaced Kind = "weights_replaced"
	// TargetsLimited: every target that could take the request is at the rate limit it
	// advertises. TargetsBackingOff: every such target asked for no requests for some
	// time.
	TargetsLimited    Kind = "targets_limited"
	TargetsBackingOff Kind = "targets_resting"
	// CapacityShared: more target time is asked for than there is, and others took precedence.
	CapacityShared Kind = "capacity_shared"
	// StreamUnknown: the request continues a stream, and it is not known which software
	// version began that. StreamVersionGone: that version has no target left.
	StreamUnknown     Kind = "stream_unknown"
	StreamVersionGone Kind = "stream_version_gone"
	// MemoryFull: the bodies of other requests take the memory that the process has for them.
	MemoryFull Kind = "memory_full"
)

// Outcome states whether the refused request ran.
type Outcome string

const (
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
	Ran     Outcome = "ran"
)

// Error is a typed refusal. Remedy tells the caller how to proceed.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	Outcome Outcome
	// RetryAfter is how long the caller should wait before retrying; 0 gives no advice.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Kind, e.Message, e.Remedy)
}

// New returns a refusal of a request that did not run.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{
		Kind:    kind,
		Message: fmt.Sprintf(format, args...),
		Remedy:  remedy,
		Outcome: NotRun,
	}
}

// NewUnknown returns the refusal of a request that may or may not have run.
func NewUnknown(format string, args ...any) *Error {
	return &Error{
		Kind:    OutcomeUnknown,
		Message: fmt.Sprintf(format, args...),
		Remedy:  "ask again with the same Idempotency-Key, which can't run it twice; look the result up at the service before using a new one",
		Outcome: Unknown,
	}
}

// memoryRetryAfter is the minimum Retry-After of a request for whose body there is no memory: the
// bodies of others leave as these end. A random delay of up to the same length is added, so that
// clients refused together do not return together.
const memoryRetryAfter = 500 * time.Millisecond

// NewMemoryFull returns the refusal of a request for whose body there is no memory.
func NewMemoryFull() *Error {
	return New(MemoryFull, "come back after the time in Retry-After, also at another entry",
		"the bodies of other requests take the memory of this entry").WithRetryAfter(memoryRetryAfter + rand.N(memoryRetryAfter))
}

// WithRetryAfter returns a copy of e with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From converts err to a refusal. An error of any other type becomes target_failed with
// an unknown outcome, the only outcome that holds for every such error.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Kind:    TargetFailed,
		Message: err.Error(),
		Remedy:  "see the logs of the entry under this request id",
		Outcome: Unknown,
	}
}

var statuses = map[Kind]int{
	BadRequest:        http.StatusBadRequest,
	BodyTooLarge:      http.StatusRequestEntityTooLarge,
	BodyLate:          http.StatusRequestTimeout,
	HeaderTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
	Unauthorized:      http.StatusUnauthorized,
	Forbidden:         http.StatusForbidden,
	UnknownModel:      http.StatusNotFound,
	UnknownService:    http.StatusNotFound,
	NotFound:          http.StatusNotFound,
	Conflict:          http.StatusConflict,
	InvalidResource:   http.StatusUnprocessableEntity,
	ContractExceeded:  http.StatusTooManyRequests,
	QueueFull:         http.StatusTooManyRequests,
	DeadlineUnmet:     http.StatusTooManyRequests,
	Stopping:          http.StatusServiceUnavailable,
	TargetNotReady:    http.StatusServiceUnavailable,
	NoTarget:          http.StatusServiceUnavailable,
	TargetFailed:      http.StatusBadGateway,
	OutcomeUnknown:    http.StatusBadGateway,
	PlatformDown:      http.StatusServiceUnavailable,
	LedgerFull:        http.StatusServiceUnavailable,
	KeyReused:         http.StatusUnprocessableEntity,
	Canceled:          499,
	AttemptAbandoned:  http.StatusConflict,
	ResumeUnavailable: http.StatusGone,
	HeldElsewhere:     http.StatusServiceUnavailable,
	AgentRestarted:    http.StatusServiceUnavailable,
	NotOwner:          http.StatusServiceUnavailable,
	TimedOut:          http.StatusGatewayTimeout,
	Interrupted:       http.StatusBadGateway,
	CrashesTargets:    http.StatusServiceUnavailable,
	SuspectInProgress: http.StatusServiceUnavailable,
	WeightsReplaced:   http.StatusBadGateway,
	TargetsLimited:    http.StatusTooManyRequests,
	TargetsBackingOff: http.StatusServiceUnavailable,
	StreamUnknown:     http.StatusServiceUnavailable,
	StreamVersionGone: http.StatusServiceUnavailable,
	CapacityShared:    http.StatusTooManyRequests,
	MemoryFull:        http.StatusServiceUnavailable,
}

// Status returns the HTTP status code for e.
func (e *Error) Status() int {
	status, ok := statuses[e.Kind]
	if !ok {
		return http.StatusInternalServerError
	}
	return status
}

// Kinds returns all kinds; metrics and documentation checks enumerate them.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(statuses))
	for kind := range statuses {
		kinds = append(kinds, kind)
	}
	return kinds
}
