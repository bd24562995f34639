package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"

	"acaciakeel/connend"
	"acaciakeel/httpbody"
)

// maxAnswerBytes bounds the body of a plain service's response.
const maxAnswerBytes = 4 << 20

// Service is a client of one instance of a plain service.
type Service struct {
	baseURL string
	http    *http.Client
}

// NewService returns a client of the service instance at baseURL.
func NewService(baseURL string) *Service {
	return &Service{baseURL: baseURL, http: newHTTPClient()}
}

// Call is a request to a plain service.
type Call struct {
	RequestID   string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is forwarded to the service, which may ignore it.
	IdempotencyKey string
}

// Answer is the complete response of a service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Do sends the call. ErrNotSent means that nothing was sent; after any other
// error it is unknown whether the call was executed.
func (s *Service) Do(ctx context.Context, c Call) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, s.baseURL+c.Path, bytes.NewReader(c.Body))
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
	resp, err := s.http.Do(connend.Track(req))
	if err != nil {
		return Answer{}, sendError(err)
	}
	defer resp.Body.Close()
	body, err := httpbody.Read(resp, maxAnswerBytes)
	if err != nil {
		return Answer{}, fmt.Errorf("read the service's answer: %w", err)
	}
	if endsWithConnection(resp) {
		if len(body) == 0 && resp.StatusCode < http.StatusMultipleChoices {
			return Answer{}, errNoBody
		}
		if err := s.confirm(ctx); err != nil {
			return Answer{}, fmt.Errorf("the service's answer ended with its connection, which may not be its end: %w", err)
		}
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// errNoBody is the end of a success without length or chunks that has brought nothing. A service
// whose answer is empty states that; one that stops after the header does not.
var errNoBody = errors.New("the service's answer ended with its connection before its body")

// endsWithConnection reports whether only the end of the connection marks that of the body.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// confirm checks that the service still accepts connections. The kernel closes the connections
// of a service that has crashed in order, as the service itself does after an answer without a
// length, but it closes the listener with them.
func (s *Service) confirm(ctx context.Context) error {
	base, err := url.Parse(s.baseURL)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", base.Host)
	if err != nil {
		return err
	}
	return conn.Close()
}
