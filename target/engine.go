// Package target speaks the protocols of back ends: engines, with their
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
	"strconv"
	"strings"
	"time"

	"acaciakeel/cache"
)

// Errors that callers tell apart.
var (
	// ErrNotSent: no connection could be made, so nothing ran.
	ErrNotSent = errors.New("no connection to the target; nothing was sent")
	// ErrNotAccepting: the target answered that it takes nothing now.
	ErrNotAccepting = errors.New("the target takes no requests now")
	// ErrStreamNotFound: the target does not know the stream.
	ErrStreamNotFound = errors.New("the target does not know this stream")
	// ErrFenced: the target refused an order as outdated.
	ErrFenced = errors.New("the target refused the order: old fencing number, or not drained")
)

// Completion is one request to an engine.
type Completion struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	CacheSalt string `json:"cache_salt"`
}

// Usage is an engine's count of one request's tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Chunk is one event of an engine's stream.
type Chunk struct {
	Offset         int    `json:"offset"`
	Text           string `json:"text"`
	FinishReason   string `json:"finish_reason"`
	Usage          *Usage `json:"usage"`
	WeightsVersion string `json:"weights_version"`
}

// Load is an engine's load report.
type Load struct {
	BootID         string `json:"boot_id"`
	WeightsVersion string `json:"weights_version"`
	Loading        bool   `json:"loading"`
	Running        int    `json:"running"`
	Waiting        int    `json:"waiting"`
	PrefillTokens  int    `json:"prefill_tokens"`
	Fence          uint64 `json:"fence"`
}

const (
	headerBoot    = "X-Boot-Id"
	headerWeights = "X-Weights-Version"
	dialTimeout   = 300 * time.Millisecond
	// streamPrefix starts the data lines of a stream, and streamDone ends it.
	streamPrefix = "data: "
	streamDone   = "[DONE]"
	maxLine      = 1 << 20
)

// Engine is a client of one engine.
type Engine struct {
	base string
	http *http.Client
}

// NewEngine returns a client of the engine at base, such as http://127.0.0.1:8000.
func NewEngine(base string) *Engine {
	return &Engine{base: base, http: newHTTPClient()}
}

func newHTTPClient() *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}
}

// Stream is one open stream of an engine.
type Stream struct {
	// BootID and WeightsVersion are the engine's when it took the request.
	BootID         string
	WeightsVersion string
	body           io.ReadCloser
	lines          *bufio.Scanner
}

// Start sends a completion and returns its stream.
func (e *Engine) Start(ctx context.Context, c Completion) (*Stream, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode completion: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build completion: %w", err)
	}
	return e.open(req)
}

// Resume opens the stream of a request again, from an offset.
func (e *Engine) Resume(ctx context.Context, requestID string, offset int) (*Stream, error) {
	path := fmt.Sprintf("%s/v1/streams/%s?offset=%d", e.base, url.PathEscape(requestID), offset)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, fmt.Errorf("build resume: %w", err)
	}
	// The connection on which the stream broke must not serve its resume.
	req.Close = true
	return e.open(req)
}

func (e *Engine) open(req *http.Request) (*Stream, error) {
	resp, err := e.http.Do(req)
	if err != nil {
		return nil, sendError(err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, statusError(resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 4096), maxLine)
	return &Stream{
		BootID:         resp.Header.Get(headerBoot),
		WeightsVersion: resp.Header.Get(headerWeights),
		body:           resp.Body,
		lines:          lines,
	}, nil
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

// sendError tells a request that provably never left from one that may have.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("send to the target: %w", err)
}

// Next returns the next chunk, or io.EOF after the last. A stream that breaks
// off before its end returns io.ErrUnexpectedEOF or the connection's error.
func (s *Stream) Next() (Chunk, error) {
	for s.lines.Scan() {
		data, ok := strings.CutPrefix(s.lines.Text(), streamPrefix)
		if !ok {
			continue
		}
		if data == streamDone {
			return Chunk{}, io.EOF
		}
		var c Chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return Chunk{}, fmt.Errorf("decode chunk: %w", err)
		}
		return c, nil
	}
	if err := s.lines.Err(); err != nil {
		return Chunk{}, err
	}
	return Chunk{}, io.ErrUnexpectedEOF
}

// Close drops the connection of the stream.
func (s *Stream) Close() {
	s.body.Close()
}

// Cancel tells the engine that nobody wants a request any more.
func (e *Engine) Cancel(ctx context.Context, requestID string) error {
	return e.call(ctx, http.MethodDelete, "/v1/streams/"+url.PathEscape(requestID), nil, nil)
}

// Load returns the engine's load report.
func (e *Engine) Load(ctx context.Context) (Load, error) {
	var l Load
	err := e.call(ctx, http.MethodGet, "/v1/load", nil, &l)
	return l, err
}

type cacheDump struct {
	BootID string      `json:"boot_id"`
	Seq    uint64      `json:"seq"`
	Blocks [][2]uint64 `json:"blocks"`
}

// CacheDump returns everything that the engine has cached.
func (e *Engine) CacheDump(ctx context.Context) (cache.Dump, error) {
	var raw cacheDump
	if err := e.call(ctx, http.MethodGet, "/v1/cache", nil, &raw); err != nil {
		return cache.Dump{}, err
	}
	d := cache.Dump{BootID: raw.BootID, Seq: raw.Seq, Blocks: make([]cache.Block, len(raw.Blocks))}
	for i, b := range raw.Blocks {
		d.Blocks[i] = cache.Block{Hash: b[0], Parent: b[1]}
	}
	return d, nil
}

type cacheEvent struct {
	BootID  string   `json:"boot_id"`
	Seq     uint64   `json:"seq"`
	Removed []uint64 `json:"removed"`
	Parent  uint64   `json:"parent"`
	Stored  []uint64 `json:"stored"`
}

// CacheEvents calls take with each cache event after a sequence number until
// the connection ends, which it always does with an error.
func (e *Engine) CacheEvents(ctx context.Context, after uint64, take func(cache.Event)) error {
	path := e.base + "/v1/cache/events?after=" + strconv.FormatUint(after, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return fmt.Errorf("build event stream: %w", err)
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return sendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode)
	}
	decoder := json.NewDecoder(resp.Body)
	for {
		var raw cacheEvent
		if err := decoder.Decode(&raw); err != nil {
			return fmt.Errorf("read cache events: %w", err)
		}
		take(cache.Event(raw))
	}
}

// Order tells the engine to load weights under a fencing number, and returns
// once they are loaded.
func (e *Engine) Order(ctx context.Context, fence uint64, weightsVersion string) error {
	body, err := json.Marshal(struct {
		Fence          uint64 `json:"fence"`
		WeightsVersion string `json:"weights_version"`
	}{fence, weightsVersion})
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	return e.call(ctx, http.MethodPost, "/v1/orders", body, nil)
}

// LookupResult is an engine's true state for one prompt.
type LookupResult struct {
	CachedTokens  int `json:"cached_tokens"`
	PrefillTokens int `json:"prefill_tokens"`
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
}

// Lookup asks a stand-in engine for its true state. Only the bench's oracle
// policy calls it; real engines have no such thing.
func (e *Engine) Lookup(ctx context.Context, hashes []uint64, tokens []int) (LookupResult, error) {
	body, err := json.Marshal(struct {
		Hashes []uint64 `json:"hashes"`
		Tokens []int    `json:"tokens"`
	}{hashes, tokens})
	if err != nil {
		return LookupResult{}, fmt.Errorf("encode lookup: %w", err)
	}
	var a LookupResult
	err = e.call(ctx, http.MethodPost, "/truth/lookup", body, &a)
	return a, err
}

func (e *Engine) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, e.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build call: %w", err)
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return sendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("decode the target's answer: %w", err)
	}
	return nil
}
