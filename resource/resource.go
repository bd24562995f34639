// Package resource defines the resources that operators configure (Service,
// Target, Customer, Model and Preference), their validation, and the immutable
// Snapshot that every process reads.
package resource

import (
	"encoding/json"
	"fmt"
	"time"
)

// Kind is the kind of a resource.
type Kind string

// The kinds of resource.
const (
	KindService    Kind = "service"
	KindTarget     Kind = "target"
	KindCustomer   Kind = "customer"
	KindModel      Kind = "model"
	KindPreference Kind = "preference"
)

// Kinds lists the kinds in the order in which they are applied, so that a
// resource comes after those it refers to.
func Kinds() []Kind {
	return []Kind{KindModel, KindService, KindPreference, KindCustomer, KindTarget}
}

// Resource is one resource as stored: its identity, its version and its spec.
type Resource struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version is the position (store.Position) of the last change in the platform's service; 0 if
	// the service does not have the resource.
	Version int64 `json:"version,omitempty"`
	// Unsaved is set if the resource is in force but the service, restored from an older copy, does
	// not have this change. Version is then that of what the service has instead.
	Unsaved bool `json:"unsaved,omitempty"`
	// ChangeID identifies the write that created this version, so that a writer
	// that lost the response can check by reading whether the write took effect.
	ChangeID string          `json:"change_id,omitempty"`
	Changed  time.Time       `json:"changed,omitzero"`
	Author   string          `json:"author,omitempty"`
	Spec     json.RawMessage `json:"spec"`
}

// Key returns the platform key that holds the resource.
func Key(kind Kind, name string) string {
	return fmt.Sprintf("%s%s/%s", KeyPrefix, kind, name)
}

// KeyPrefix is the prefix of the platform keys of all resources.
const KeyPrefix = "acaciakeel/resources/"

// Service is a service other than a model engine.
type Service struct {
	// IdempotentPaths are path prefixes whose calls may be retried with any
	// method. On other paths only GET and HEAD may be retried.
	IdempotentPaths []string `json:"idempotent_paths,omitempty" toml:"idempotent_paths"`
	// TimeoutMS bounds one call, in milliseconds. Default 10000.
	TimeoutMS int `json:"timeout_ms,omitempty" toml:"timeout_ms"`
}

// Target is one back end: an engine (Model set) or a plain service instance
// (Service set), with the agent beside it.
type Target struct {
	// Model is the model that an engine serves. Exactly one of Model and Service is set.
	Model string `json:"model,omitempty" toml:"model"`
	// Service is the service that a plain target is an instance of.
	Service string `json:"service,omitempty" toml:"service"`
	// AgentURL is where the target's agent serves the system's internal RPCs.
	AgentURL string `json:"agent_url" toml:"agent_url"`
	// DataCentre and Region are the target's location.
	DataCentre string `json:"data_centre" toml:"data_centre"`
	Region     string `json:"region,omitempty" toml:"region"`
	// VM is the name of the target's VM in the platform's list, which shows when
	// the VM is leaving. Default the target's own name.
	VM string `json:"vm,omitempty" toml:"vm"`
	// Leaving stops new work for the target; running work is finished.
	Leaving bool `json:"leaving,omitempty" toml:"leaving"`
	// ChecksFencing means that the target itself rejects orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty" toml:"checks_fencing"`
}

// Customer is one customer's contract.
type Customer struct {
	// KeyHashes are the SHA-256 hashes, in hex, of the customer's API keys.
	KeyHashes []string `json:"key_hashes" toml:"key_hashes"`
	// Weight is the customer's share of a busy target. Default 1.
	Weight int `json:"weight,omitempty" toml:"weight"`
	// Priority is 0 (first) to 3. Default 1.
	Priority *int `json:"priority,omitempty" toml:"priority"`
	// RequestsPerSecond, TokensPerSecond and Streams are limits across all entries; 0 is no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" toml:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty" toml:"tokens_per_second"`
	Streams           int     `json:"streams,omitempty" toml:"streams"`
	// Preference names the routing preference. Default "default".
	Preference string `json:"preference,omitempty" toml:"preference"`
}

// Model is a model that engines serve.
type Model struct {
	// WeightsVersion is the version that runners are to serve.
	WeightsVersion string `json:"weights_version" toml:"weights_version"`
	// PreviousVersion is the version that runners serve until enough of them
	// have the new weights. Entries set it when WeightsVersion changes.
	PreviousVersion string `json:"previous_version,omitempty" toml:"previous_version"`
	// BlockTokens is the engines' cache block size. Default 16.
	BlockTokens int `json:"block_tokens,omitempty" toml:"block_tokens"`
	// PieceTokens is the engines' prefill chunk size. Default 4000.
	PieceTokens int `json:"piece_tokens,omitempty" toml:"piece_tokens"`
	// Adapters are the names that callers may ask for as MODEL:ADAPTER.
	Adapters []string `json:"adapters,omitempty" toml:"adapters"`
	// MinRunners is how many runners stay in service while weights roll out. Default half of them.
	MinRunners int `json:"min_runners,omitempty" toml:"min_runners"`
}

// Preference is a routing preference: the weights of prefix reuse and waiting.
type Preference struct {
	// Policy is the placement policy. Default "keel"; the others are baselines.
	Policy string `json:"policy,omitempty" toml:"policy"`
	// MissWeight multiplies the cost of recomputing missed tokens. Default 3.
	MissWeight float64 `json:"miss_weight,omitempty" toml:"miss_weight"`
	// WaitWeight multiplies the cost of waiting. Default 1.
	WaitWeight float64 `json:"wait_weight,omitempty" toml:"wait_weight"`
	// LevelWidths are how many runners hold a level of a prefix before it
	// spills, outermost first. Default [3].
	LevelWidths []int `json:"level_widths,omitempty" toml:"level_widths"`
	// Candidates is how many agents are asked first. Default 3.
	Candidates int `json:"candidates,omitempty" toml:"candidates"`
	// WidenWaitMS asks the next runners when the best answer waits longer, in milliseconds. Default 60.
	WidenWaitMS int `json:"widen_wait_ms,omitempty" toml:"widen_wait_ms"`
}

// Defaults of optional fields, and the lowest priority (MaxPriority).
const (
	DefaultServiceTimeout = 10 * time.Second
	DefaultWeight         = 1
	DefaultPriority       = 1
	MaxPriority           = 3
	DefaultBlockTokens    = 16
	DefaultPieceTokens    = 4000
	DefaultCandidates     = 3
	DefaultWidenWaitMS    = 60
	DefaultLevelWidth     = 3
	DefaultMissWeight     = 3
	DefaultPreference     = "default"
	DefaultPolicy         = "keel"
)

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Timeout returns the time limit of one call.
func (s Service) Timeout() time.Duration {
	if s.TimeoutMS == 0 {
		return DefaultServiceTimeout
	}
	return time.Duration(s.TimeoutMS) * time.Millisecond
}

func (c Customer) withDefaults() Customer {
	c.Weight = orDefault(c.Weight, DefaultWeight)
	c.Preference = orDefault(c.Preference, DefaultPreference)
	if c.Priority == nil {
		priority := DefaultPriority
		c.Priority = &priority
	}
	return c
}

func (m Model) withDefaults() Model {
	m.BlockTokens = orDefault(m.BlockTokens, DefaultBlockTokens)
	m.PieceTokens = orDefault(m.PieceTokens, DefaultPieceTokens)
	return m
}

// WithDefaults returns p with each unset field at its default.
func (p Preference) WithDefaults() Preference {
	p.Policy = orDefault(p.Policy, DefaultPolicy)
	p.MissWeight = orDefault(p.MissWeight, DefaultMissWeight)
	p.WaitWeight = orDefault(p.WaitWeight, 1)
	p.Candidates = orDefault(p.Candidates, DefaultCandidates)
	p.WidenWaitMS = orDefault(p.WidenWaitMS, DefaultWidenWaitMS)
	if len(p.LevelWidths) == 0 {
		p.LevelWidths = []int{DefaultLevelWidth}
	}
	return p
}
