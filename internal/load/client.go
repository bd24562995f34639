// Package load plays the callers: single requests for demos and tests, and
// seeded workloads for measurements.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Client is one customer's client.
type Client struct {
	base string
	key  string
	http *http.Client
	// OnToken, if set, is called after each token of a stream.
	OnToken func()
}

// NewClient returns a client of the entry at base with a customer's key.
func NewClient(base, key string) *Client {
	return &Client{base: base, key: key, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 512,
		IdleConnTimeout:     30 * time.Second,
	}}}
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat is one streamed request.
type Chat struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`

	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// Result is how a request ended, as its caller saw it.
type Result struct {
	Status int
	// Code and Outcome are those of a refusal.
	Code       string
	Outcome    string
	RetryAfter string
	// Text is all that came; Whole is set where the stream came to its end.
	Text         string
	Whole        bool
	FirstToken   time.Duration
	LongestPause time.Duration
	Total        time.Duration
	PromptTokens int
	CachedTokens int
	LastEventID  string
	RequestID    string
	Replayed     bool
	Err          error
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens        int `json:"prompt_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// Chat sends a request and reads its stream to the end. lastEventID resumes
// an earlier one.
func (c *Client) Chat(ctx context.Context, chat Chat, lastEventID string) Result {
	chat.Stream = true
	chat.StreamOptions.IncludeUsage = true
	body, err := json.Marshal(chat)
	if err != nil {
		return Result{Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Result{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	if lastEventID != "" {
		req.Header.Set("Last-Event-ID", lastEventID)
	}
	return c.stream(req)
}

func (c *Client) stream(req *http.Request) Result {
	began := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return Result{Err: err, Total: time.Since(began)}
	}
	defer resp.Body.Close()
	r := Result{Status: resp.StatusCode, RequestID: resp.Header.Get("X-Request-Id"), RetryAfter: resp.Header.Get("Retry-After")}
	if resp.StatusCode != http.StatusOK {
		r.refused(resp.Body)
		r.Total = time.Since(began)
		return r
	}
	r.read(resp.Body, began, c.OnToken)
	r.Total = time.Since(began)
	return r
}

func (r *Result) refused(body io.Reader) {
	var answer struct {
		Error errorDetail `json:"error"`
	}
	r.Err = json.NewDecoder(body).Decode(&answer)
	r.Code, r.Outcome = answer.Error.Code, answer.Error.Outcome
}

func (r *Result) read(body io.Reader, began time.Time, onToken func()) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4096), 1<<20)
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	last := began
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			r.LastEventID = id
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Whole = true
			return
		}
		var c chunk
		if r.Err = json.Unmarshal([]byte(data), &c); r.Err != nil {
			return
		}
		before := text.Len()
		last = r.take(c, &text, began, last)
		if onToken != nil && text.Len() > before {
			onToken()
		}
	}
	r.Err = lines.Err()
}

func (r *Result) take(c chunk, text *strings.Builder, began, last time.Time) time.Time {
	if c.Error != nil {
		r.Code, r.Outcome = c.Error.Code, c.Error.Outcome
	}
	if c.Usage != nil {
		r.PromptTokens = c.Usage.PromptTokens
		r.CachedTokens = c.Usage.PromptTokensDetails.CachedTokens
	}
	for _, choice := range c.Choices {
		if choice.Delta.Content == "" {
			continue
		}
		now := time.Now()
		if text.Len() == 0 {
			r.FirstToken = now.Sub(began)
		} else {
			r.LongestPause = max(r.LongestPause, now.Sub(last))
		}
		last = now
		text.WriteString(choice.Delta.Content)
	}
	return last
}

// Call calls a plain service; an empty key sends none.
func (c *Client) Call(ctx context.Context, service, path, body, key string) Result {
	began := time.Now()
	url := fmt.Sprintf("%s/services/%s%s", c.base, service, path)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return Result{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Result{Err: err, Total: time.Since(began)}
	}
	defer resp.Body.Close()
	r := Result{Status: resp.StatusCode, RequestID: resp.Header.Get("X-Request-Id"), Replayed: resp.Header.Get("Idempotent-Replayed") == "true"}
	if resp.StatusCode != http.StatusOK {
		r.refused(resp.Body)
	} else {
		var answer []byte
		answer, r.Err = io.ReadAll(resp.Body)
		r.Text = string(answer)
		r.Whole = r.Err == nil
	}
	r.Total = time.Since(began)
	return r
}
