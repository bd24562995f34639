// Package operator defines the messages of the resource API and a client for it.
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

// Change is the body of a PUT request: the desired state of a resource.
type Change struct {
	// Version is the version that the change replaces; 0 creates the resource.
	Version int64 `json:"version"`
	// ChangeID identifies the change, so that a repeat after a lost response is not
	// treated as a second change.
	ChangeID string          `json:"change_id"`
	Spec     json.RawMessage `json:"spec"`
}

// List is one page of the resources of a kind at a revision. If Next is not empty,
// more resources follow; pass it to Client.List as after to get the next page.
type List struct {
	Revision int64               `json:"revision"`
	Items    []resource.Resource `json:"items"`
	Next     string              `json:"next,omitempty"`
}

// TargetStatus is the status of one target as seen by an entry.
type TargetStatus struct {
	Name       string `json:"name"`
	Serves     string `json:"serves"`
	DataCentre string `json:"data_centre"`
	// State is live, suspect or dead, as determined by the entry.
	State    string `json:"state"`
	Leaving  bool   `json:"leaving"`
	Inflight int    `json:"inflight"`
}

// Status is the status of the system as seen by one entry.
type Status struct {
	Entry    string `json:"entry"`
	Revision int64  `json:"revision"`
	// History is how often the platform's service was restored from an older copy, ReplacedAt when it
	// was last. Unsaved are the keys of the resources that are in force although the service does not
	// have this change of theirs any more; Withheld of those that were deleted and are back in the
	// service. Both wait for an operator's change.
	History    int       `json:"history,omitempty"`
	ReplacedAt time.Time `json:"replaced_at,omitzero"`
	Unsaved    []string  `json:"unsaved,omitempty"`
	Withheld   []string  `json:"withheld,omitempty"`
	// InForce maps each listed process to the configuration revision that it uses;
	// -1 if it did not answer.
	InForce map[string]int64 `json:"in_force"`
	Targets []TargetStatus   `json:"targets"`
}

// Error is an error response of the resource API. Status is the HTTP status code.
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

// NewClient returns a client of the entry at the base URL. It authenticates with the
// operator's key.
func NewClient(base, key string) *Client {
	return &Client{base: base, key: key, http: &http.Client{Timeout: time.Minute}}
}

func (c *Client) do(ctx context.Context, method, path string, query url.Values, body, result any) error {
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
	if err := decoder.Decode(result); err != nil {
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

// List returns the page of resources of a kind whose names sort after the given name.
func (c *Client) List(ctx context.Context, kind resource.Kind, after string) (List, error) {
	var l List
	err := c.do(ctx, http.MethodGet, fmt.Sprintf("%s/%s", PathResources, kind), url.Values{"after": {after}}, nil, &l)
	return l, err
}

// Put creates or replaces a resource. With dryRun, the change is only validated.
func (c *Client) Put(ctx context.Context, kind resource.Kind, name string, change Change, dryRun bool) (resource.Resource, error) {
	var r resource.Resource
	query := url.Values{"dry_run": {strconv.FormatBool(dryRun)}}
	err := c.do(ctx, http.MethodPut, resourcePath(kind, name), query, change, &r)
	return r, err
}

// Delete removes a resource, provided that it is at the given version.
func (c *Client) Delete(ctx context.Context, kind resource.Kind, name string, version int64) (resource.Deletion, error) {
	var d resource.Deletion
	query := url.Values{"version": {strconv.FormatInt(version, 10)}}
	err := c.do(ctx, http.MethodDelete, resourcePath(kind, name), query, nil, &d)
	return d, err
}

// Watch waits up to wait for changes after a revision; the entry may limit the time.
func (c *Client) Watch(ctx context.Context, after int64, wait time.Duration) (resource.Delta, error) {
	var d resource.Delta
	query := url.Values{
		"after":   {strconv.FormatInt(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	err := c.do(ctx, http.MethodGet, PathWatch, query, nil, &d)
	return d, err
}

// Status returns the targets as seen by the entry and the configuration revision of
// each process.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.do(ctx, http.MethodGet, PathStatus, nil, nil, &s)
	return s, err
}
