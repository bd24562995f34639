// Package catalog holds one version of the operators' configuration in the
// form that routing needs: routes by host and path, services, customers by
// key, and limits. A Config is immutable once indexed.
package catalog

import (
	"sort"
	"strings"
	"time"

	"acaciakeel/quota"
)

// Kind says what of a route's requests may be repeated.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests run at most once for each attempt of a client.
	AtMostOnce Kind = "once"
	// Stream answers are series of events; they run once unless resumable.
	Stream Kind = "stream"
)

// Share is one service's part of a split route.
type Share struct {
	Service string
	Weight  float64
}

// Route says what is done with the requests below one path of one host.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest that a client is kept waiting; 0 is no bound.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most; of a stream, its first event.
	Objective time.Duration
	// Priority is the rank of the route's requests; 0 is first.
	Priority int
	// Attempts is the most targets that may run one attempt of a client.
	Attempts int
	// Public routes need no key.
	Public bool
	// Model routes carry prompts whose prefixes are worth caching.
	Model bool
	// Resumable streams may go on at another target after the last event.
	Resumable bool
	Split     []Share
}

// Repeatable reports whether a request that may have run may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Resumable
}

// Service picks one of the route's services; draw is uniform in [0, 1).
func (r *Route) Service(draw float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := draw * total
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if n := len(r.Split); n > 0 {
		return r.Split[n-1].Service
	}
	return ""
}

// Engine describes the runners of a model service.
type Engine struct {
	// Slots is how many requests a runner works on at once.
	Slots int
	// CapacityTokens is a runner's memory for running requests and cached parts.
	CapacityTokens int
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int
	Models     []string
}

// Service is one group of equal targets.
type Service struct {
	Name string
	// MaxConns is the most connections that a target accepts from all callers together.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
	// KVStore is the address of a store of kept KV cache, which is no target;
	// empty for other services. Zone is where it stands, KVTokens its room,
	// KVLinkMbps its link.
	KVStore    string
	Zone       string
	KVTokens   int
	KVLinkMbps float64
}

// Customer is one holder of keys.
type Customer struct {
	Name string
	// Priority takes precedence over the route's where HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated customers share no cached part with others.
	Isolated bool
	Keys     []string
	// Limit holds over all entries together.
	Limit quota.Limit
}

// Limits bound what clients may send; 0 is no bound.
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

	hosts map[string][]*Route
	keys  map[string]*Customer
}

// Index builds the look-up tables; it must be called once before use.
func (c *Config) Index() *Config {
	c.hosts = map[string][]*Route{}
	for _, r := range c.Routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	c.keys = map[string]*Customer{}
	for _, customer := range c.Customers {
		for _, key := range customer.Keys {
			c.keys[key] = customer
		}
	}
	return c
}

// Match returns the route of a request, the one with the longest prefix, or
// nil. A port behind the host's name is ignored.
func (c *Config) Match(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Customer returns the holder of a key, or nil.
func (c *Config) Customer(key string) *Customer {
	return c.keys[key]
}

// CustomerLimits returns the limits of all customers, by their names.
func (c *Config) CustomerLimits() map[string]quota.Limit {
	out := make(map[string]quota.Limit, len(c.Customers))
	for _, customer := range c.Customers {
		out[customer.Name] = customer.Limit
	}
	return out
}

// NeedsKeys reports whether routes that are not public want a key.
func (c *Config) NeedsKeys() bool {
	return len(c.Customers) > 0
}

// Models returns the model services' models, each with its services.
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
