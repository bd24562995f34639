// Package entry implements the process that serves clients and operators. It
// authenticates customers by key, enforces contracts, selects the target of each
// request, resumes interrupted streams and serves the resource API. It holds no cache
// state, so a restarted entry makes the same decisions as the others.
package entry

import (
	"encoding/hex"

	"acaciakeel/problem"
	"acaciakeel/settings"
)

// Settings of an entry.
type Settings struct {
	Self      settings.Self     `toml:"self"`
	Platform  settings.Platform `toml:"platform"`
	Log       settings.Log      `toml:"log"`
	Limits    LimitSettings     `toml:"limits"`
	Routing   RoutingSettings   `toml:"routing"`
	Operators []Operator        `toml:"operator"`
	// StopLimitMS limits how long a shutdown waits for running requests. Default 60000.
	StopLimitMS float64 `toml:"stop_limit_ms"`
}

// LimitSettings limit client requests.
type LimitSettings struct {
	// BodyBytes is the maximum size of a request body. Default 8388608.
	BodyBytes int64 `toml:"body_bytes"`
	// BodyMemoryBytes is how much the bodies of all requests may take, at least two of BodyBytes.
	// Default 67108864, or four of BodyBytes if that is more.
	BodyMemoryBytes int64 `toml:"body_memory_bytes"`
	// MaxTokens is the maximum number of tokens that a request may generate. Default 4096.
	MaxTokens int `toml:"max_tokens"`
	// DefaultTokens is the token limit of a request that sets none. Default 256.
	DefaultTokens int `toml:"default_tokens"`
}

// RoutingSettings configure the requests to agents and their retries.
type RoutingSettings struct {
	// AskTimeoutMS is the time-out of an Ask request to an agent. Default 100.
	AskTimeoutMS float64 `toml:"ask_timeout_ms"`
	// SilenceMS is how long a stream may be silent before it is resumed on a new
	// connection. It covers several heartbeats of the agents. Default 1000.
	SilenceMS float64 `toml:"silence_ms"`
	// RetryRatio is the allowed ratio of retries to requests. Default 0.1.
	RetryRatio float64 `toml:"retry_ratio"`
	// OtherDataCentreMS is the round-trip time to a target in another data centre of
	// the region. Default 1.
	OtherDataCentreMS float64 `toml:"other_data_centre_ms"`
}

// Role determines the operations allowed to an operator.
type Role string

// The roles of operators.
const (
	RoleReader Role = "reader"
	RoleWriter Role = "writer"
)

// Operator is an operator with its key and role.
type Operator struct {
	// Name is recorded in the audit log and as the author of each change.
	Name string `toml:"name"`
	// KeyHash is the SHA-256 hash of the key in hex, as `keelctl hash-key` prints it.
	KeyHash string `toml:"key_hash"`
	// Role is reader or writer.
	Role Role `toml:"role"`
}

// defaultBodyMemoryBytes and defaultBodies give BodyMemoryBytes where it isn't set.
const (
	defaultBodyMemoryBytes = 64 << 20
	defaultBodies          = 4
)

// bodyMemory returns how much the bodies of all requests may take, in bytes.
func (l LimitSettings) bodyMemory() int64 {
	if l.BodyMemoryBytes > 0 {
		return l.BodyMemoryBytes
	}
	return max(defaultBodyMemoryBytes, defaultBodies*l.BodyBytes)
}

// DefaultSettings returns the settings of which none is stated.
func DefaultSettings() Settings {
	return Settings{
		Limits:      LimitSettings{BodyBytes: 8 << 20, MaxTokens: 4096, DefaultTokens: 256},
		Routing:     RoutingSettings{AskTimeoutMS: 100, SilenceMS: 1000, RetryRatio: 0.1, OtherDataCentreMS: 1},
		StopLimitMS: 60000,
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate(ps *problem.List) {
	s.Self.Validate(ps)
	s.Platform.Validate(ps)
	s.Log.Validate(ps)
	settings.CheckPositive(ps, "limits.body_bytes", float64(s.Limits.BodyBytes))
	if s.Limits.BodyMemoryBytes != 0 && s.Limits.BodyMemoryBytes/2 < s.Limits.BodyBytes {
		ps.Add("limits.body_memory_bytes", "set at least twice limits.body_bytes", "%d", s.Limits.BodyMemoryBytes)
	}
	settings.CheckPositive(ps, "limits.max_tokens", float64(s.Limits.MaxTokens))
	settings.CheckPositive(ps, "limits.default_tokens", float64(s.Limits.DefaultTokens))
	settings.CheckPositive(ps, "routing.ask_timeout_ms", s.Routing.AskTimeoutMS)
	settings.CheckPositive(ps, "routing.silence_ms", s.Routing.SilenceMS)
	settings.CheckPositive(ps, "routing.retry_ratio", s.Routing.RetryRatio)
	settings.CheckPositive(ps, "stop_limit_ms", s.StopLimitMS)
	if len(s.Operators) == 0 {
		ps.Add("operator", "add an [[operator]] with name, key_hash and role", "none")
	}
	for _, o := range s.Operators {
		o.validate(ps)
	}
}

// keyHashBytes is the length of a SHA-256 hash.
const keyHashBytes = 32

func (o Operator) validate(ps *problem.List) {
	if o.Name == "" {
		ps.Add("operator.name", "name the operator for the audit log", "nothing")
	}
	if raw, err := hex.DecodeString(o.KeyHash); err != nil || len(raw) != keyHashBytes {
		ps.Add("operator.key_hash", "use the 64 hex digits that `keelctl hash-key` prints", "%q", o.KeyHash)
	}
	if o.Role != RoleReader && o.Role != RoleWriter {
		ps.Add("operator.role", "use reader or writer", "%q", o.Role)
	}
}
