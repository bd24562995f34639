// Package refusal holds the typed errors that acaciakeel answers with: what
// kind it is, whether the request ran, what the caller can do, and when to
// come back.
package refusal

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind is the reason of a refusal. Each kind is a label of the refusal
// counters and a section of docs/operating/refusals.md.
type Kind string

// The kinds of refusal.
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
	// CrashesTargets: targets ended under earlier requests with the same content;
	// SuspectUnderWay: one did, and another request with that content is being tried.
	CrashesTargets    Kind = "ends_targets"
	SuspectInProgress Kind = "suspect_under_way"
	// WeightsReplaced: it waited at its target until the time of the weights there
	// ended, and was taken back.
	WeightsReplaced Kind = "weights_replaced"
	// TargetsLimited: the targets that could take it get as much as they say they take.
	// TargetsResting: these asked to be left alone for a while.
	TargetsLimited    Kind = "targets_limited"
	TargetsBackingOff Kind = "targets_resting"
)

// Outcome says whether the refused request ran.
type Outcome string

// The outcomes of a refused request.
const (
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
	Ran     Outcome = "ran"
)

// Error is a typed refusal. Its message names the remedy.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	Outcome Outcome
	// RetryAfter is when the caller should come back; 0 says nothing.
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

// NewUnknown returns the answer to a request whose outcome cannot be known.
func NewUnknown(format string, args ...any) *Error {
	return &Error{
		Kind:    OutcomeUnknown,
		Message: fmt.Sprintf(format, args...),
		Remedy:  "ask again with the same Idempotency-Key, which can't run it twice; look the result up at the service before using a new one",
		Outcome: Unknown,
	}
}

// WithRetryAfter returns a copy of e that names when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns err as a refusal. Any other error becomes target_failed with
// an unknown outcome, the one claim that is always true.
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
}

// Status returns the HTTP status of e.
func (e *Error) Status() int {
	status, ok := statuses[e.Kind]
	if !ok {
		return http.StatusInternalServerError
	}
	return status
}

// Kinds returns every kind there is, for counters and documentation checks.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(statuses))
	for kind := range statuses {
		kinds = append(kinds, kind)
	}
	return kinds
}
