// Package target implements clients for the targets: engines, with their
// streams, cache events, load reports and orders, and plain services.
package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"acaciakeel/connend"
	"acaciakeel/httpbody"
	"acaciakeel/httphead"
)

// Errors that callers distinguish.
var (
	// ErrNotSent is returned if no connection could be made, so that the request
	// was not executed.
	ErrNotSent = errors.New("no connection to the target; nothing was sent")
	// ErrNotAccepting is returned if the target responded that it currently
	// accepts no requests.
	ErrNotAccepting = errors.New("the target takes no requests now")
	// ErrStreamNotFound is returned if the target does not know the stream.
	ErrStreamNotFound = errors.New("the target does not know this stream")
	// ErrFenced is returned if the target refused an order because its fencing
	// number is old or the target is not drained.
	ErrFenced = errors.New("the target refused the order: old fencing number, or not drained")
)

// Completion is a completion request to an engine.
type Completion struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	CacheSalt string `json:"cache_salt"`
}

// Usage is the engine's token count for one request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Chunk is one event of a completion stream.
type Chunk struct {
	Offset         int    `json:"offset"`
	Text           string `json:"text"`
	FinishReason   string `json:"finish_reason"`
	Usage          *Usage `json:"usage"`
	WeightsVersion string `json:"weights_version"`
}

// FinishCanceled is the finish reason of a stream that the engine ended before its last token: it was
// canceled, or had no reader for longer than the engine keeps it.
const FinishCanceled = "canceled"

// Load is an engine's load report.
type Load struct {
	BootID         string `json:"boot_id"`
	WeightsVersion string `json:"weights_version"`
	// Build is the version of the engine's software; empty if it states none.
	Build         string `json:"software_version"`
	Loading       bool   `json:"loading"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	PrefillTokens int    `json:"prefill_tokens"`
	Fence         uint64 `json:"fence"`
}

const (
	headerBootID         = "X-Boot-Id"
	headerWeightsVersion = "X-Weights-Version"
	headerBuild          = "X-Software-Version"
	dialTimeout          = 300 * time.Millisecond
	// dataPrefix starts the data lines of a stream, and endOfStream is the data of
	// its last line.
	dataPrefix   = "data: "
	endOfStream  = "[DONE]"
	maxLineBytes = 1 << 20
	// maxHeaderBytes bounds the header of a response, together with informational responses
	// before it. Headers take a few hundred bytes.
	maxHeaderBytes = 64 << 10
	// maxRefusalBytes bounds the body of a refusal, which holds an error message.
	maxRefusalBytes = 64 << 10
	// maxReportBytes bounds the answers to a load report, an order and the like, of some hundred
	// bytes.
	maxReportBytes = 256 << 10
	// maxDumpBytes bounds a dump of the cache: 400,000 blocks of 42 bytes, which are 6 million
	// tokens in blocks of 16.
	maxDumpBytes = 16 << 20
	// maxEventBytes bounds a cache event: 50,000 blocks, more than any prompt has.
	maxEventBytes = 1 << 20
)

// Engine is a client of one engine.
type Engine struct {
	baseURL string
	http    *http.Client
	// dial opens the connections of load reports.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// lastReport is the connection of the last load report, nil if that failed.
	lastReport atomic.Pointer[reportConn]
}

// NewEngine returns a client of the engine at baseURL, such as http://127.0.0.1:8000.
func NewEngine(baseURL string) *Engine {
	return &Engine{baseURL: baseURL, http: newHTTPClient(), dial: dialerFor(baseURL)}
}

// newHTTPClient returns a client that uses a new connection for each call. Responses of engines
// and services name no request, so that on a connection that has carried others a late one could be
// taken for the answer. Nor does the HTTP library send a call again that it has sent on a new
// connection.
func newHTTPClient() *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:            connend.Dial(dialer.DialContext),
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	httphead.CheckTransport(transport)
	return &http.Client{CheckRedirect: keepRedirect, Transport: transport}
}

// keepRedirect makes a redirect the answer of the target, which may have executed the call. To
// follow it would send the call again, or take an unreachable address for a call that was not sent.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Stream is one open stream of an engine.
type Stream struct {
	// BootID, WeightsVersion and Build are the engine's values from the response header.
	BootID         string
	WeightsVersion string
	Build          string
	body           io.ReadCloser
	scanner        *bufio.Scanner
}

// Start sends a completion request and returns its stream.
func (e *Engine) Start(ctx context.Context, c Completion) (*Stream, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode completion: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.baseURL+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build completion: %w", err)
	}
	return e.openStream(req)
}

// Resume reopens the stream of a request at an offset.
func (e *Engine) Resume(ctx context.Context, requestID string, offset int) (*Stream, error) {
	path := fmt.Sprintf("%s/v1/streams/%s?offset=%d", e.baseURL, url.PathEscape(requestID), offset)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, fmt.Errorf("build resume: %w", err)
	}
	return e.openStream(req)
}

func (e *Engine) openStream(req *http.Request) (*Stream, error) {
	resp, err := e.http.Do(connend.Track(req))
	if err != nil {
		return nil, sendError(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, readStatusError(resp)
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 4096), maxLineBytes)
	return &Stream{
		BootID:         resp.Header.Get(headerBootID),
		WeightsVersion: resp.Header.Get(headerWeightsVersion),
		Build:          resp.Header.Get(headerBuild),
		body:           resp.Body,
		scanner:        scanner,
	}, nil
}

// readStatusError returns the error that a response states. What the target truncates states
// nothing: a request may be sent elsewhere because of it, or a stream counts as lost.
func readStatusError(resp *http.Response) error {
	if err := httpbody.Discard(resp, maxRefusalBytes); err != nil {
		return fmt.Errorf("read the target's response with status %d: %w", resp.StatusCode, err)
	}
	return statusError(resp.StatusCode)
}

func statusError(status int) error {
	switch status {
	case http.StatusServiceUnavailable:
		return ErrNotAccepting
	case http.StatusNotFound:
		return ErrStreamNotFound
	case http.StatusConflict:
		return ErrFenced
	}
	return fmt.Errorf("the target answered with status %d", status)
}

// sendError wraps an error of the HTTP client. The result is ErrNotSent if no
// connection was made; after any other error the request may have been sent.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("send to the target: %w", err)
}

var errNoChunk = fmt.Errorf("the stream has no chunk in %d bytes", maxLineBytes)

// Next returns the next chunk, or io.EOF after the last one. If the stream
// breaks before its end marker, Next returns io.ErrUnexpectedEOF or the
// connection's error.
func (s *Stream) Next() (Chunk, error) {
	skipped := 0
	for s.scanner.Scan() {
		data, ok := strings.CutPrefix(s.scanner.Text(), dataPrefix)
		if !ok {
			if skipped += len(s.scanner.Bytes()) + 1; skipped > maxLineBytes {
				return Chunk{}, errNoChunk
			}
			continue
		}
		if data == endOfStream {
			return Chunk{}, io.EOF
		}
		var c Chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return Chunk{}, fmt.Errorf("decode chunk: %w", err)
		}
		return c, nil
	}
	if err := s.scanner.Err(); err != nil {
		return Chunk{}, err
	}
	return Chunk{}, io.ErrUnexpectedEOF
}

// Close closes the stream's connection.
func (s *Stream) Close() {
	s.body.Close()
}

// Cancel requests the engine to abort a request.
func (e *Engine) Cancel(ctx context.Context, requestID string) error {
	return e.call(ctx, call{method: http.MethodDelete, path: "/v1/streams/" + url.PathEscape(requestID), maxBytes: maxReportBytes})
}

// Order requests the engine to load weights, with a fencing number, and returns
// once they are loaded.
func (e *Engine) Order(ctx context.Context, fence uint64, weightsVersion string) error {
	body, err := json.Marshal(struct {
		Fence          uint64 `json:"fence"`
		WeightsVersion string `json:"weights_version"`
	}{fence, weightsVersion})
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	return e.call(ctx, call{method: http.MethodPost, path: "/v1/orders", body: body, maxBytes: maxReportBytes})
}

// LookupResult is the actual state of an engine with respect to one prompt.
type LookupResult struct {
	CachedTokens  int `json:"cached_tokens"`
	PrefillTokens int `json:"prefill_tokens"`
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
}

// Lookup queries a stand-in engine for its actual state. Only the oracle policy
// of the benchmark calls it; real engines do not provide this endpoint.
func (e *Engine) Lookup(ctx context.Context, hashes []uint64, tokens []int) (LookupResult, error) {
	body, err := json.Marshal(struct {
		Hashes []uint64 `json:"hashes"`
		Tokens []int    `json:"tokens"`
	}{hashes, tokens})
	if err != nil {
		return LookupResult{}, fmt.Errorf("encode lookup: %w", err)
	}
	var a LookupResult
	err = e.call(ctx, call{method: http.MethodPost, path: "/truth/lookup", body: body, out: &a, maxBytes: maxReportBytes})
	return a, err
}

// call is a call of an engine that is answered at once.
type call struct {
	method, path string
	body         []byte
	// out receives the body of the answer; nil discards it.
	out any
	// maxBytes bounds that body.
	maxBytes int64
}

func (e *Engine) call(ctx context.Context, c call) error {
	req, err := http.NewRequestWithContext(ctx, c.method, e.baseURL+c.path, bytes.NewReader(c.body))
	if err != nil {
		return fmt.Errorf("build call: %w", err)
	}
	resp, err := e.http.Do(connend.Track(req))
	if err != nil {
		return sendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readStatusError(resp)
	}
	if c.out == nil {
		err = httpbody.Discard(resp, c.maxBytes)
	} else {
		err = httpbody.Decode(resp, c.maxBytes, c.out)
	}
	if err != nil {
		return fmt.Errorf("read the target's answer: %w", err)
	}
	return nil
}
