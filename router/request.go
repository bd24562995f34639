// Package router is the path of a request: who sends it, where it may go, to
// which target it is sent, what is done where that fails, and how its answer
// goes back. It knows no protocol; doors decode requests into it and a Sender
// takes them to targets.
package router

import (
	"context"
	"io"
	"net/http"
	"time"

	"acaciakeel/fleet"
	"acaciakeel/prefix"
	"acaciakeel/quota"
)

// Part is one part of a prompt, in order; requests share parts.
type Part struct {
	ID     string
	Tokens int
}

// Request is one request of a client.
type Request struct {
	// ID is one attempt's of a client; each of its retries has another.
	ID     string
	Method string
	Host   string
	// Path selects the route; URI is what the target gets, unchanged.
	Path   string
	URI    string
	Header http.Header
	Body   []byte
	// Key is the customer's; empty where none was sent.
	Key string
	// Received is when the request was read, Deadline when its client stops
	// waiting; zero is never.
	Received time.Time
	Deadline time.Time
	// Model is empty for requests that carry no prompt.
	Model  string
	Prefix []Part
	// InputTokens is the number of prompt tokens, Output the most that may be generated.
	InputTokens     int
	MaxOutputTokens int
	// Size is what the request counts against its customer's limit in tokens.
	Size quota.Size
	// LastEventID is the event after which the client resumes a stream.
	LastEventID string
}

// Attempt is one attempt at one target.
type Attempt struct {
	Request  *Request
	Target   fleet.Target
	Deadline time.Time
	// Customer is the name that the target gets; empty on public routes.
	Customer string
	// Priority is 0 (first) to 9, or below 0 for none.
	Priority int
	// WeightsVersion is the version that the target must have; 0 is any.
	WeightsVersion int64
	// CacheSalt names whose cached parts, and of which weights, may be used.
	CacheSalt string
	// FetchFrom is the address of a target that holds more of the prompt.
	FetchFrom string
	// SaveTo is the address of a store that is to get the prompt's parts.
	SaveTo string
	// LastEventID is the last event that the client has of a stream that goes on.
	LastEventID string
}

// Response is the head of a target's answer; Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ContentLength is the body's, or -1 where its end shows it.
	ContentLength int64
	// NotRun says that the target did not run the request.
	NotRun bool
	// Misdirected says that another target has the address, or that it has other weights.
	Misdirected bool
	InstanceID  string
	// MatchesRequest is set where the answer bears the request's id.
	MatchesRequest bool
	// Sealed is set where the target vouches for its body, Encoded where the
	// body isn't the target's own.
	Sealed  bool
	Encoded bool
	// CloseConnection says that the target closes the connection.
	CloseConnection bool
	// WeightsVersion is the version that answers; 0 where it does not say.
	WeightsVersion int64
	Load           fleet.Load
	HasLoad        bool
	Notice         fleet.Notice
}

// SendError is a send that got no answer.
type SendError struct {
	Err error
	// Sent is false where nothing of the request was written on a connection, so
	// that the target can't have got any of it.
	Sent bool
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Sender takes requests to targets.
type Sender interface {
	// Send sends one attempt and returns once the head of its answer is there.
	// Any error is a *SendError. The end of ctx takes the request back.
	Send(ctx context.Context, s *Attempt) (*Response, error)
	// Probe asks whether anybody takes connections at a target's address.
	Probe(ctx context.Context, target fleet.Target) ProbeResult
}

// ProbeResult is what a target's address says of the process there.
type ProbeResult string

// What an address says. Only NotListening proves something: a machine that is there says
// that nobody listens, so that the process has ended.
const (
	Listening    ProbeResult = "present"
	NotListening ProbeResult = "absent"
	Inconclusive ProbeResult = "unclear"
)

// ResponseWriter is where an answer goes. Its methods return an error once the client
// is gone.
type ResponseWriter interface {
	// WriteHeader writes the head of a target's answer.
	WriteHeader(a *Response) error
	// Write passes bytes of the body on at once.
	Write(p []byte) error
	// Abort ends an answer that has begun so that it can't look complete.
	Abort()
}

// chain returns the prompt's boundaries under a salt. The level by which
// placement ranks targets is the deepest part that other requests share: the
// last part belongs to the request itself.
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
