// Package operator is the resource API: its messages, and a client for it.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"acaciakeel/resource"
)

// Paths of the resource API.
const (
	PathResources = "/api/v1/resources"
	PathWatch     = "/api/v1/watch"
	PathStatus    = "/api/v1/status"
)

// Change is the body of a PUT: what a resource is to be.
type Change struct {
	// Version is the version that the change replaces; 0 creates.
	Version int64 `json:"version"`
	// ChangeID identifies the change, so that sending it again after a lost
	// answer does not count as a second one.
	ChangeID string          `json:"change_id"`
	Spec     json.RawMessage `json:"spec"`
}

// List is the resources of one kind at a revision. Next, where set, is the
// name to go on after.
type List struct {
	Revision int64               `json:"revision"`
	Items    []resource.Resource `json:"items"`
	Next     string              `json:"next,omitempty"`
}

// TargetStatus is one target as an entry sees it.
type TargetStatus struct {
	Name       string `json:"name"`
	Serves     string `json:"serves"`
	DataCentre string `json:"data_centre"`
	// State is live, suspect or dead, in the entry's opinion.
	State    string `json:"state"`
	Leaving  bool   `json:"leaving"`
	Inflight int    `json:"inflight"`
}

// Status is what one entry knows.
type Status struct {
	Entry    string `json:"entry"`
	Revision int64  `json:"revision"`
	// InForce is the revision of each process that answered.
	InForce map[string]int64 `json:"in_force"`
	Targets []TargetStatus   `json:"targets"`
}

// Error is a refusal of the resource API.
type Error struct {
	Status  int
	Code    string `json:"code"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Client calls the resource API of one entry.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a client of the entry at base with an operator's key.
func NewClient(base, key string) *Client {
	return &Client{base: base, key: key, http: &http.Client{Timeout: time.Minute}}
}

func (c *Client) do(ctx context.Context, method, path string, query url.Values, body, out any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+query.Encode(), bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("call the entry: %w; check --entry", err)
	}
	defer resp.Body.Close()
	decoder := json.NewDecoder(resp.Body)
	if resp.StatusCode != http.StatusOK {
		failure := struct {
			Error *Error `json:"error"`
		}{&Error{}}
		_ = decoder.Decode(&failure)
		failure.Error.Status = resp.StatusCode
		return failure.Error
	}
	if err := decoder.Decode(out); err != nil {
		return fmt.Errorf("decode the entry's answer: %w", err)
	}
	return nil
}

func resourcePath(kind resource.Kind, name string) string {
	return fmt.Sprintf("%s/%s/%s", PathResources, kind, url.PathEscape(name))
}

// Get returns one resource.
func (c *Client) Get(ctx context.Context, kind resource.Kind, name string) (resource.Resource, error) {
	var r resource.Resource
	err := c.do(ctx, http.MethodGet, resourcePath(kind, name), nil, nil, &r)
	return r, err
}

// List returns one page of a kind, after a name.
func (c *Client) List(ctx context.Context, kind resource.Kind, after string) (List, error) {
	var l List
	err := c.do(ctx, http.MethodGet, fmt.Sprintf("%s/%s", PathResources, kind), url.Values{"after": {after}}, nil, &l)
	return l, err
}

// Put writes a resource; dryRun only checks.
func (c *Client) Put(ctx context.Context, kind resource.Kind, name string, change Change, dryRun bool) (resource.Resource, error) {
	var r resource.Resource
	query := url.Values{"dry_run": {strconv.FormatBool(dryRun)}}
	err := c.do(ctx, http.MethodPut, resourcePath(kind, name), query, change, &r)
	return r, err
}

// Delete removes a resource at a version.
func (c *Client) Delete(ctx context.Context, kind resource.Kind, name string, version int64) (resource.Deletion, error) {
	var d resource.Deletion
	query := url.Values{"version": {strconv.FormatInt(version, 10)}}
	err := c.do(ctx, http.MethodDelete, resourcePath(kind, name), query, nil, &d)
	return d, err
}

// Watch waits for changes after a revision.
func (c *Client) Watch(ctx context.Context, after int64, wait time.Duration) (resource.Delta, error) {
	var d resource.Delta
	query := url.Values{
		"after":   {strconv.FormatInt(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	err := c.do(ctx, http.MethodGet, PathWatch, query, nil, &d)
	return d, err
}

// Status returns what the entry knows, and what is in force where.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.do(ctx, http.MethodGet, PathStatus, nil, nil, &s)
	return s, err
}
