// Package client is a stand-in of the platform's clients: it words requests as they do.
package client

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	Method string
	Host   string
	Path   string
	// ID is the attempt's, Key the customer's.
	ID   string
	Key  string
	Body string
	// Deadline is for how long the client waits.
	Deadline time.Duration
	// Resumes is the attempt that received the first event of the stream that this one
	// continues, and LastEventID the last event received; empty for a new request.
	Resumes     string
	LastEventID string
	// Prompt is nil for requests to plain services.
	Prompt *Prompt
}

// Prompt is what a request asks of a model.
type Prompt struct {
	Model string
	// Input and Output are tokens.
	Input, Output int
	// Parts are ID:TOKENS in their order, separated by commas.
	Parts string
}

// To returns the request to the entry at an address.
func (r Request) To(address string) (*http.Request, error) {
	req, err := http.NewRequest(r.Method, "http://"+address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("word request %s: %w", r.ID, err)
	}
	req.Host = r.Host
	req.Header.Set("Request-Id", r.ID)
	req.Header.Set("Key", r.Key)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	if r.Resumes != "" {
		req.Header.Set("Resumes", r.Resumes)
	}
	if r.LastEventID != "" {
		req.Header.Set("Last-Event-Id", r.LastEventID)
	}
	if p := r.Prompt; p != nil {
		req.Header.Set("Model", p.Model)
		req.Header.Set("Token-Count", fmt.Sprintf("%d,%d", p.Input, p.Output))
		req.Header.Set("Prefix-Hash", p.Parts)
	}
	return req, nil
}
