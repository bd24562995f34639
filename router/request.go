// Package router decides who may send a request, where it may go and to which target it is
// sent, retries it where that fails, and forwards the response. It is independent of
// protocols: front ends decode requests into a Request, and a Sender transmits attempts to
// targets.
package router

import (
	"context"
	"io"
	"mime"
	"net/http"
	"time"

	"acaciakeel/fleet"
	"acaciakeel/prefix"
	"acaciakeel/quota"
)

// Part is one of the consecutive parts of a prompt. Requests can share parts.
type Part struct {
	ID     string
	Tokens int
}

// Request is a decoded request of a client.
type Request struct {
	// ID identifies one attempt of a client; each retry by the client has a new ID.
	ID     string
	Method string
	Host   string
	// Path selects the route, with its escapes. URI is sent to the target unchanged.
	Path   string
	URI    string
	Header http.Header
	Body   []byte
	// Key authenticates the customer; empty if the client sent none.
	Key string
	// Received is when the request was read. Deadline is when the client stops waiting; zero
	// means never.
	Received time.Time
	Deadline time.Time
	// Model is empty for requests without a prompt.
	Model  string
	Prefix []Part
	// InputTokens is the number of prompt tokens, MaxOutputTokens the maximum number of
	// tokens to generate.
	InputTokens     int
	MaxOutputTokens int
	// Size is what the request counts against the limit of its customer.
	Size quota.Size
	// LastEventID is the event after which the client resumes a stream, and Resumes the ID of
	// its attempt that received the first event of that stream.
	LastEventID string
	Resumes     string
	// ResumesInvalid is set if the client names several streams, or one by a name that is too
	// long.
	ResumesInvalid bool
}

// Attempt is one attempt to run a request at a target.
type Attempt struct {
	Request  *Request
	Target   fleet.Target
	Deadline time.Time
	// Customer is the customer name sent to the target; empty on public routes.
	Customer string
	// Priority is 0 (highest) to 9; a negative value sends none.
	Priority int
	// WeightsVersion is the version of the weights that the target must have; 0 accepts any.
	WeightsVersion int64
	// CacheSalt limits reuse of cached prompt parts to the same customers and weights.
	CacheSalt string
	// FetchFrom is the address of a target that has more of the prompt cached.
	FetchFrom string
	// SaveTo is the address of a store to which the target saves the prompt parts.
	SaveTo string
	// LastEventID is the last event that the client has received, where a stream is
	// continued.
	LastEventID string
}

// Response is the header of the response of a target, and its body, which must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ContentLength is the length of the body, or -1 if it is not known in advance.
	ContentLength int64
	// Framing is how the end of the body is marked.
	Framing Framing
	// NotRun is set if the target did not run the request.
	NotRun bool
	// Misdirected is set if another target has the address now, or if the target has other
	// weights than the attempt requires.
	Misdirected bool
	InstanceID  string
	// MatchesRequest is set if the response is known to answer the request: it carries its ID
	// and no other. Nothing of another response may be used.
	MatchesRequest bool
	// RequestID is the ID of the request that the response answers by its own word; empty if
	// it names none.
	RequestID string
	// Ambiguous is set if the header may consist of those of several responses.
	Ambiguous bool
	Conn      ConnUse
	// Sealed is set if the response has the seal header, with which a target confirms that the
	// body is its own. Encoded is set if a content encoding was applied, so that the body is
	// not the one that the target produced.
	Sealed  bool
	Encoded bool
	// CloseConnection is set if the target closes the connection after the response.
	CloseConnection bool
	// WeightsVersion is the version of the weights that produced the response; 0 if unknown.
	WeightsVersion int64
	Load           fleet.Load
	HasLoad        bool
	Notice         fleet.Notice
}

// unusable reports whether a response is none that a target sends of a run.
func (r *Response) unusable() bool {
	switch {
	case r.Status < http.StatusOK:
		return true
	case r.Status < http.StatusMultipleChoices:
		return !r.Sealed || r.Encoded || r.NotRun
	}
	return r.NotRun
}

// refuses reports whether the response states that its target did not run the request, and nothing
// else in its header speaks against that: only a run has a seal.
func (r *Response) refuses() bool {
	return r.NotRun && r.Status >= http.StatusBadRequest && !r.Ambiguous && !r.Sealed
}

// promisesNotRun reports whether clients take the status for the promise that the request has
// not run and never will. They repeat any request after it.
func (r *Response) promisesNotRun() bool {
	switch r.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isEventStream reports whether the body consists of events; a type that is not stated counts
// as such.
func (r *Response) isEventStream() bool {
	stated := r.Header.Get("Content-Type")
	if stated == "" {
		return true
	}
	kind, _, err := mime.ParseMediaType(stated)
	return err == nil && kind == "text/event-stream"
}

// Framing is how a response marks the end of its body (RFC 9112, section 6.3).
type Framing string

// The framings. Length and Chunks tell a truncated body from a complete one. With UntilClose the
// body ends with its connection, which the kernel also closes in order if the process dies.
const (
	Length     Framing = "length"
	Chunks     Framing = "chunks"
	UntilClose Framing = "until_close"
)

// ConnUse is the state of a connection when a request is sent on it.
type ConnUse struct {
	// Earlier is the number of requests that it carried before, Age the time since it was opened.
	Earlier int64
	Age     time.Duration
	// Replaces is why another connection could not take the request; empty if there was none.
	Replaces ConnReplacement
	// Surplus is how many responses to earlier requests came once more ahead of the one that was due,
	// and were dropped.
	Surplus int
}

// ConnReplacement is why a connection can't take a request.
type ConnReplacement string

const (
	// CarriedID: it has carried a request with the same ID, whose response may come once more.
	CarriedID ConnReplacement = "carried_id"
	// RequestLimit: it has carried as many requests as it may.
	RequestLimit ConnReplacement = "request_limit"
)

// SendError is the error of an attempt that got no response.
type SendError struct {
	Err error
	// Sent is false if no byte of the request was written to a connection, so that the
	// target cannot have received any of it.
	Sent bool
	// Connected is set if the attempt had a connection to the target.
	Connected bool
	// HeadBytes is the number of bytes received if the header of the response was over
	// MaxResponseHeadBytes, otherwise 0.
	HeadBytes int64
	// Written is the number of bytes that the kernel accepted for sending, on the last connection
	// that the attempt used, and Conn the state of that connection.
	Written int64
	Conn    ConnUse
	// ClosedByTarget is set if the target has closed that connection in order.
	ClosedByTarget bool
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Sender transmits attempts to targets.
type Sender interface {
	// Send sends an attempt and returns when the header of the response has been received.
	// Every error is a *SendError. Canceling ctx withdraws the request.
	Send(ctx context.Context, a *Attempt) (*Response, error)
	// Probe checks whether a process accepts connections at the address of a target.
	Probe(ctx context.Context, target fleet.Target) ProbeResult
	// Identify asks a target which instance it is.
	Identify(ctx context.Context, target fleet.Target) (fleet.Instance, error)
	// Confirm asks a target whether it still serves as the same instance. It returns nil only
	// if the target has answered since the call, within a fraction of a second.
	Confirm(ctx context.Context, target fleet.Target) error
	// Runs asks an engine which requests it works on. It has ended if it tells another start than
	// the target's, or no process listens at its address. A response that is no report tells
	// nothing.
	Runs(ctx context.Context, target fleet.Target) (RunReport, error)
}

// ProbeResult is the result of probing the address of a target.
type ProbeResult string

// The results of a probe. Only NotListening proves anything: the VM answered that no
// process listens on the port, so the process has ended.
const (
	Listening    ProbeResult = "present"
	NotListening ProbeResult = "absent"
	Inconclusive ProbeResult = "unclear"
	// NotProbed: this process could not send the probe, for example because it has no free
	// file descriptors. That says nothing about the target.
	NotProbed ProbeResult = "not_sent"
)

// ResponseWriter writes a response to the client. Its methods return an error once the
// client has disconnected.
type ResponseWriter interface {
	// WriteHeader writes the header of the response of a target.
	WriteHeader(resp *Response) error
	// Write writes and flushes a part of the body. It keeps p, which must not be changed
	// afterwards.
	Write(p []byte) error
	// Finish waits until the client has been sent the whole response. Until then Write may
	// hold parts of it.
	Finish() error
	// ClientLeft reports whether the client is known to have disconnected, where the goroutine that
	// cancels the request's context then may run late.
	ClientLeft() bool
	// Abort ends a partly written response so that it cannot be taken for a complete one.
	Abort()
}

// chain returns the prefix boundaries of the prompt under a salt. Placement ranks targets by
// the deepest part that other requests share. The last part is not shared: it belongs to
// this request alone.
func (r *Request) chain(salt string) prefix.Chain {
	c := prefix.Chain{Tokens: r.InputTokens}
	root := prefix.Root(salt)
	tokens := 0
	for _, p := range r.Prefix {
		tokens += p.Tokens
		c.Boundaries = append(c.Boundaries, prefix.Boundary{Hash: fleet.PartHash(root, p.ID), Tokens: tokens})
	}
	c.Tokens = max(c.Tokens, tokens)
	switch n := len(c.Boundaries); n {
	case 0:
	case 1:
		c.Levels = c.Boundaries
	default:
		c.Levels = c.Boundaries[n-2 : n-1]
	}
	return c
}
