// Package catalog holds one version of the operators' configuration, prepared
// for routing: routes by host and path, services, customers by key, and
// limits. A Config is immutable once it has been indexed.
package catalog

import (
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"acaciakeel/quota"
)

// Kind states whether a route's requests may be executed more than once.
type Kind string

const (
	// Idempotent requests may be executed more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests are executed at most once per attempt of a client.
	AtMostOnce Kind = "once"
	// Stream responses are sequences of events. The requests are executed once
	// unless the route is resumable.
	Stream Kind = "stream"
)

// Share is the weight of one service in a route's split.
type Share struct {
	Service string
	Weight  float64
}

// Route defines the handling of requests below one path prefix of one host.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// normalPrefix is Prefix in the form in which equivalent paths are equal; set by Index.
	normalPrefix string
	Kind         Kind
	// Timeout bounds the time that a client waits; 0 means no bound.
	Timeout time.Duration
	// Objective is the latency objective: the response time, or for streams the
	// time to the first event, beyond which the response loses value.
	Objective time.Duration
	// MaxEventGap is the longest pause between two events of a stream for which its
	// response is on time; 0 means no bound.
	MaxEventGap time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Attempts is the maximum number of targets that may execute one attempt of
	// a client.
	Attempts int
	// Public routes require no key.
	Public bool
	// Model routes carry prompts, which benefit from prefix caching.
	Model bool
	// Resumable streams may continue on another target after the last event.
	Resumable bool
	Split     []Share
}

// Repeatable reports whether a request that may have been executed may be executed
// again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Resumable
}

// Service selects one of the route's services in proportion to their weights;
// draw is uniform in [0, 1).
func (r *Route) Service(draw float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	offset := draw * total
	for _, s := range r.Split {
		if offset < s.Weight {
			return s.Service
		}
		offset -= s.Weight
	}
	if n := len(r.Split); n > 0 {
		return r.Split[n-1].Service
	}
	return ""
}

// Engine describes the engines of a model service's runners.
type Engine struct {
	// Slots is the number of requests that a runner processes concurrently.
	Slots int
	// CapacityTokens is the size of a runner's KV cache in tokens, shared by
	// running requests and cached prefixes.
	CapacityTokens int
	// TokenBytes is the size of one token's KV cache, in bytes.
	TokenBytes int
	Models     []string
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// MaxConns is the maximum number of connections that a target accepts, summed
	// over all callers.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
	// KVCacheStore is the address of a KV cache store, which is not a target; empty
	// for other services. Zone is the store's data centre, KVTokens its capacity
	// in tokens and KVLinkMbps its link bandwidth.
	KVCacheStore string
	Zone         string
	KVTokens     int
	KVLinkMbps   float64
}

// Customer is a customer with its keys and limit.
type Customer struct {
	Name string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated customers share no cached prefixes with other customers.
	Isolated bool
	Keys     []string
	// Limit applies to the customer's usage summed over all entries.
	Limit quota.Limit
}

// Limits bound the size and duration of clients' requests; 0 means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version   int64
	Routes    []*Route
	Services  map[string]*Service
	Customers []*Customer
	Limits    Limits

	hosts    map[string][]*Route
	keys     map[string]*Customer
	isolated string
}

// Index builds the lookup tables and returns c. It must be called once, before
// any lookup.
func (c *Config) Index() *Config {
	c.hosts = map[string][]*Route{}
	for _, r := range c.Routes {
		r.normalPrefix = normalizePath(r.Prefix)
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].normalPrefix) > len(routes[j].normalPrefix) })
	}
	c.isolated = c.isolatedNames()
	c.keys = map[string]*Customer{}
	for _, customer := range c.Customers {
		for _, key := range customer.Keys {
			c.keys[key] = customer
		}
	}
	return c
}

// Match returns the route with the longest prefix that begins the path as written in the request's
// URI, or nil. A port in host is ignored.
func (c *Config) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	path = normalizePath(path)
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.normalPrefix) {
			return r
		}
	}
	return nil
}

// Isolated identifies the set of isolated customers; it is empty if there are none.
func (c *Config) Isolated() string { return c.isolated }

func (c *Config) isolatedNames() string {
	var names []string
	for _, customer := range c.Customers {
		if customer.Isolated {
			names = append(names, strconv.Quote(customer.Name))
		}
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// Customer returns the customer to whom key belongs, or nil.
func (c *Config) Customer(key string) *Customer {
	return c.keys[key]
}

// CustomerLimits returns the limits of all customers by customer name.
func (c *Config) CustomerLimits() map[string]quota.Limit {
	limits := make(map[string]quota.Limit, len(c.Customers))
	for _, customer := range c.Customers {
		limits[customer.Name] = customer.Limit
	}
	return limits
}

// NeedsKeys reports whether non-public routes require a key, which they do if
// any customer is configured.
func (c *Config) NeedsKeys() bool {
	return len(c.Customers) > 0
}

// StreamServices returns the services to which routes of streams lead, in ascending order.
func (c *Config) StreamServices() []string {
	var services []string
	for _, r := range c.Routes {
		if r.Kind != Stream {
			continue
		}
		for _, share := range r.Split {
			services = append(services, share.Service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// Models maps each model to the names of the services that provide it.
func (c *Config) Models() map[string][]string {
	models := map[string][]string{}
	for name, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			models[m] = append(models[m], name)
		}
	}
	return models
}
