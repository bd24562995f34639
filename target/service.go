package target

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
)

// maxAnswer bounds a plain service's answer, in bytes.
const maxAnswer = 4 << 20

// Service is a client of one instance of a plain service.
type Service struct {
	base string
	http *http.Client
	// once makes a new connection for each call: a kept connection that the
	// service closes just then leaves the outcome of a send unknown.
	once *http.Client
}

// NewService returns a client of the instance at base.
func NewService(base string) *Service {
	once := newHTTPClient()
	once.Transport.(*http.Transport).DisableKeepAlives = true
	return &Service{base: base, http: newHTTPClient(), once: once}
}

// Call is one call of a plain service.
type Call struct {
	RequestID   string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is passed on; the service need not look at it.
	IdempotencyKey string
	// NoResend keeps the HTTP library from sending the call a second time by itself.
	NoResend bool
}

// Answer is a service's whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Do sends the call once. ErrNotSent means that nothing was sent; any other
// error leaves open whether the call ran.
func (s *Service) Do(ctx context.Context, c Call) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, s.base+c.Path, bodyOf(c))
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req.Header.Set("X-Request-Id", c.RequestID)
	if c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	if c.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	client := s.http
	if c.NoResend {
		client = s.once
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{}, sendError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return Answer{}, fmt.Errorf("read the service's answer: %w", err)
	}
	if len(body) > maxAnswer {
		return Answer{}, fmt.Errorf("the service's answer is over %d bytes", maxAnswer)
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// bodyOf hides the body's type from the HTTP library where the call may be
// sent only once: net/http sends a request again on a new connection when a
// kept one turns out to be closed, if it can rewind the body and the request
// carries an Idempotency-Key. To the service that is a second send.
func bodyOf(c Call) io.Reader {
	if !c.NoResend {
		return bytes.NewReader(c.Body)
	}
	return io.NopCloser(bytes.NewReader(c.Body))
}
