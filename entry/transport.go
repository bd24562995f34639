package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/google/uuid"

	"acaciakeel/httpbody"
	"acaciakeel/prefix"
	"acaciakeel/refusal"
	"acaciakeel/resource"
)

func itoa(n int) string {
	return strconv.Itoa(n)
}

// requestInfo holds the id, arrival time and customer of a request.
type requestInfo struct {
	requestID string
	received  time.Time
	customer  string
	contract  resource.Customer
}

type contextKey int

const (
	requestInfoKey contextKey = iota
	operationKey
	bodyKey
)

// Headers of the client API.
const (
	headerRequestID      = "X-Request-Id"
	headerDeadline       = "X-Deadline-Ms"
	headerLastEventID    = "Last-Event-ID"
	headerIdempotencyKey = "Idempotency-Key"
	bearerPrefix         = "Bearer "
)

// customerHandler returns the HTTP handler of one operation of the client API.
func (e *Entry) customerHandler(operation string, ep endpoint.Endpoint, decode kithttp.DecodeRequestFunc, encode kithttp.EncodeResponseFunc) http.Handler {
	return kithttp.NewServer(ep, e.authenticate(decode), encode, e.serverOptions(operation)...)
}

// serverOptions assign the request id, hold the request's body until its end, encode errors and log
// completed requests.
func (e *Entry) serverOptions(operation string) []kithttp.ServerOption {
	return []kithttp.ServerOption{
		kithttp.ServerBefore(func(ctx context.Context, _ *http.Request) context.Context {
			id := uuid.Must(uuid.NewV7()).String()
			ctx = context.WithValue(ctx, operationKey, operation)
			ctx = context.WithValue(ctx, bodyKey, e.bodies.Reserve())
			return context.WithValue(ctx, requestInfoKey, requestInfo{requestID: id, received: time.Now()})
		}),
		kithttp.ServerErrorEncoder(e.encodeError),
		kithttp.ServerFinalizer(releaseBody, e.logRequest),
	}
}

func requestInfoFrom(ctx context.Context) requestInfo {
	c, _ := ctx.Value(requestInfoKey).(requestInfo)
	return c
}

// authenticate identifies the customer before the body is read.
func (e *Entry) authenticate(decode kithttp.DecodeRequestFunc) kithttp.DecodeRequestFunc {
	return func(ctx context.Context, r *http.Request) (any, error) {
		if err := e.awaitConfig(ctx); err != nil {
			return nil, err
		}
		c := requestInfoFrom(ctx)
		customer, spec, ok := e.table.Load().snapshot().CustomerByKeyHash(HashKey(bearerKey(r)))
		if !ok {
			return nil, refusal.New(refusal.Unauthorized, "send a customer's key as 'Authorization: Bearer KEY'", "no customer has this key")
		}
		c.customer, c.contract = customer, spec
		if err := e.holdBody(ctx, r); err != nil {
			return nil, err
		}
		return decode(context.WithValue(ctx, requestInfoKey, c), r)
	}
}

// holdBody reads the body of a request into the memory that there is for all bodies.
func (e *Entry) holdBody(ctx context.Context, r *http.Request) error {
	in := http.MaxBytesReader(nil, r.Body, e.settings.Limits.BodyBytes)
	held, _ := ctx.Value(bodyKey).(*httpbody.Reservation)
	body, err := held.Read(in, r.ContentLength)
	if errors.Is(err, httpbody.ErrNoRoom) {
		// A client that writes its whole request before it reads would not see a response that came
		// before the end of the body.
		if _, rest := io.Copy(io.Discard, in); rest != nil {
			err = rest
		}
	}
	if err != nil {
		return bodyError(err)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

func releaseBody(ctx context.Context, _ int, _ *http.Request) {
	if held, ok := ctx.Value(bodyKey).(*httpbody.Reservation); ok {
		held.Release()
	}
}

func bearerKey(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	return key
}

// HashKey returns the SHA-256 hash of a key in hex, as settings and resources store it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func bodyError(err error) *refusal.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.New(refusal.BodyTooLarge, "send a smaller one", "the body is over %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, httpbody.ErrNoRoom) {
		return refusal.NewMemoryFull()
	}
	if errors.Is(err, httpbody.ErrTooLarge) {
		return refusal.New(refusal.BodyTooLarge, "send a smaller one", "this entry can't hold it: %v", err)
	}
	return refusal.New(refusal.BadRequest, "send JSON in OpenAI's format", "the body can't be read: %v", err)
}

func decodeBody(r *http.Request, out any) error {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		return bodyError(err)
	}
	return nil
}

func decodeChat(ctx context.Context, r *http.Request) (any, error) {
	var body chatRequest
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	if len(body.Messages) == 0 {
		return nil, refusal.New(refusal.BadRequest, "send at least one message", "messages is empty")
	}
	prompt, err := renderPrompt(body.Messages)
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, "send text messages in OpenAI's format", "%v", err)
	}
	c := &completionRequest{isChat: true, model: body.Model, prompt: prompt, stream: body.Stream, includeUsage: body.StreamOptions.IncludeUsage}
	c.maxTokens = body.MaxCompletionTokens
	if c.maxTokens == nil {
		c.maxTokens = body.MaxTokens
	}
	return c, c.parseHeaders(ctx, r)
}

func decodeText(ctx context.Context, r *http.Request) (any, error) {
	var body textRequest
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	if body.Prompt == "" {
		return nil, refusal.New(refusal.BadRequest, "send a prompt", "prompt is empty")
	}
	c := &completionRequest{
		model:        body.Model,
		prompt:       prefix.Prompt{Text: []byte(body.Prompt)},
		maxTokens:    body.MaxTokens,
		stream:       body.Stream,
		includeUsage: body.StreamOptions.IncludeUsage,
	}
	return c, c.parseHeaders(ctx, r)
}

func (c *completionRequest) parseHeaders(ctx context.Context, r *http.Request) error {
	c.info = requestInfoFrom(ctx)
	c.lastEventID = r.Header.Get(headerLastEventID)
	raw := r.Header.Get(headerDeadline)
	if raw == "" {
		return nil
	}
	ms, err := strconv.ParseUint(raw, 10, 31)
	if err != nil || ms == 0 {
		return refusal.New(refusal.BadRequest, "use a whole number of milliseconds above 0", "%s is %q", headerDeadline, raw)
	}
	c.deadline = time.Duration(ms) * time.Millisecond
	return nil
}

// encodeError writes a refusal in OpenAI's error format.
func (e *Entry) encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	r := refusal.From(err)
	e.metrics.refusals.WithLabelValues(string(r.Kind)).Inc()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRequestID, requestInfoFrom(ctx).requestID)
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
		w.Header().Set("Retry-After-Ms", itoa(int(r.RetryAfter.Milliseconds())))
	}
	w.WriteHeader(r.Status())
	_ = json.NewEncoder(w).Encode(newErrorBody(r, requestInfoFrom(ctx).requestID))
}

func newErrorBody(r *refusal.Error, requestID string) errorBody {
	return errorBody{Error: errorDetail{
		Message:   fmt.Sprintf("%s; %s", r.Message, r.Remedy),
		Type:      errorType(r.Status()),
		Code:      string(r.Kind),
		Outcome:   string(r.Outcome),
		RequestID: requestID,
	}}
}

// errorType returns OpenAI's error type for an HTTP status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	}
	return "invalid_request_error"
}

// logRequest logs and counts a completed request.
func (e *Entry) logRequest(ctx context.Context, code int, r *http.Request) {
	c := requestInfoFrom(ctx)
	operation, _ := ctx.Value(operationKey).(string)
	e.metrics.requests.WithLabelValues(operation, itoa(code)).Inc()
	e.log.WithFields(map[string]any{
		"request_id": c.requestID,
		"operation":  operation,
		"status":     code,
		"ms":         time.Since(c.received).Milliseconds(),
		"path":       r.URL.Path,
	}).Info("request")
}

func readBody(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, bodyError(err)
	}
	return data, nil
}
