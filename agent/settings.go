// Package agent is the process that runs beside one target. It holds the state of that
// target: the cache view, the load, the request queue, the ledger of calls that must
// not be repeated, and the running streams.
package agent

import (
	"time"

	"acaciakeel/admission"
	"acaciakeel/ledger"
	"acaciakeel/problem"
	"acaciakeel/settings"
)

// Kind is the kind of an agent's target.
type Kind string

const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

type Settings struct {
	Self     settings.Self     `toml:"self"`
	Platform settings.Platform `toml:"platform"`
	Log      settings.Log      `toml:"log"`
	Target   TargetSettings    `toml:"target"`
	Queue    QueueSettings     `toml:"queue"`
	Ledger   LedgerSettings    `toml:"ledger"`
	Stream   StreamSettings    `toml:"stream"`
	// StopLimitMS is how long a planned stop waits for running work, in milliseconds.
	// Default 60000.
	StopLimitMS float64 `toml:"stop_limit_ms"`
}

// TargetSettings describe the target beside the agent.
type TargetSettings struct {
	// Name is the target's name among the Target resources.
	Name string `toml:"name"`
	// Kind is engine or service.
	Kind Kind `toml:"kind"`
	// URL is the base URL of the target.
	URL string `toml:"url"`
	// Oracle lets entries query a stand-in engine for its true state. For benchmarks
	// only.
	Oracle bool `toml:"oracle"`
}

// QueueSettings limit the requests that wait for the target.
type QueueSettings struct {
	// Length is the maximum number of waiting requests. Default 256.
	Length int `toml:"length"`
	// WaitMS is the longest expected wait with which a request is accepted, in
	// milliseconds. Default 500.
	WaitMS float64 `toml:"wait_ms"`
	// Slots is the number of requests that the target runs at the same time. Default
	// 16.
	Slots int `toml:"slots"`
	// PrefillTokens is the maximum number of prompt tokens sent to an engine ahead of
	// its work. Further requests wait in the agent's queue, which keeps them in fair
	// order. Default 6000.
	PrefillTokens int `toml:"prefill_tokens"`
	// PrefillRate is the prefill rate assumed until it has been measured, in tokens per
	// second. Default 20000.
	PrefillRate float64 `toml:"prefill_rate"`
	// ReservationMS is how long the answer to a query reserves engine time, in
	// milliseconds: about the time until the request arrives. Default 3.
	ReservationMS float64 `toml:"reservation_ms"`
}

// LedgerSettings limit the ledger of calls that must not be repeated.
type LedgerSettings struct {
	// Records and Bytes limit the ledger's memory: the number of calls and the bytes of
	// their answers. Defaults 20000 and 33554432.
	Records int `toml:"records"`
	Bytes   int `toml:"bytes"`
	// RetentionS is how long a finished call is kept, in seconds. Default 900.
	RetentionS float64 `toml:"retention_s"`
	// ClaimTTLS is how long a claim stays in the platform's service, in seconds. Default 86400.
	ClaimTTLS float64 `toml:"claim_ttl_s"`
	// ClockMarginMS is the maximum difference between the clocks of two VMs, in
	// milliseconds. Default 2000.
	ClockMarginMS float64 `toml:"clock_margin_ms"`
}

// StreamSettings are the timeouts of streams.
type StreamSettings struct {
	// HeartbeatMS is the interval between heartbeats on an idle stream, in
	// milliseconds. Default 300.
	HeartbeatMS float64 `toml:"heartbeat_ms"`
	// EngineSilenceMS is the longest accepted pause of a decoding engine, in
	// milliseconds; after it the stream is resumed on a new connection. Default 2000.
	EngineSilenceMS float64 `toml:"engine_silence_ms"`
	// OrphanMS is how long a request without a reader continues, in milliseconds.
	// Default 3000.
	OrphanMS float64 `toml:"orphan_ms"`
	// KeptMS is how long a finished stream can still be read, in milliseconds. Default
	// 10000.
	KeptMS float64 `toml:"kept_ms"`
}

func DefaultSettings() Settings {
	return Settings{
		Target: TargetSettings{Kind: KindEngine},
		Queue: QueueSettings{
			Length:        256,
			WaitMS:        500,
			Slots:         16,
			PrefillTokens: 6000,
			PrefillRate:   20000,
			ReservationMS: 3,
		},
		Ledger: LedgerSettings{
			Records:       20000,
			Bytes:         32 << 20,
			RetentionS:    900,
			ClaimTTLS:     86400,
			ClockMarginMS: 2000,
		},
		Stream:      StreamSettings{HeartbeatMS: 300, EngineSilenceMS: 2000, OrphanMS: 3000, KeptMS: 10000},
		StopLimitMS: 60000,
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate(ps *problem.List) {
	s.Self.Validate(ps)
	s.Platform.Validate(ps)
	s.Log.Validate(ps)
	if s.Target.Name == "" {
		ps.Add("target.name", "give the name of the Target resource", "nothing")
	}
	if s.Target.Kind != KindEngine && s.Target.Kind != KindService {
		ps.Add("target.kind", "use engine or service", "%q", s.Target.Kind)
	}
	settings.CheckURL(ps, "target.url", s.Target.URL)
	positive := map[string]float64{
		"queue.length":             float64(s.Queue.Length),
		"queue.wait_ms":            s.Queue.WaitMS,
		"queue.slots":              float64(s.Queue.Slots),
		"queue.prefill_tokens":     float64(s.Queue.PrefillTokens),
		"queue.prefill_rate":       s.Queue.PrefillRate,
		"queue.reservation_ms":     s.Queue.ReservationMS,
		"ledger.records":           float64(s.Ledger.Records),
		"ledger.bytes":             float64(s.Ledger.Bytes),
		"ledger.retention_s":       s.Ledger.RetentionS,
		"ledger.claim_ttl_s":       s.Ledger.ClaimTTLS,
		"ledger.clock_margin_ms":   s.Ledger.ClockMarginMS,
		"stream.heartbeat_ms":      s.Stream.HeartbeatMS,
		"stream.engine_silence_ms": s.Stream.EngineSilenceMS,
		"stream.orphan_ms":         s.Stream.OrphanMS,
		"stream.kept_ms":           s.Stream.KeptMS,
		"stop_limit_ms":            s.StopLimitMS,
	}
	for field, value := range positive {
		settings.CheckPositive(ps, field, value)
	}
}

func (q QueueSettings) limits() admission.Limits {
	return admission.Limits{MaxLength: q.Length, MaxWait: settings.Millis(q.WaitMS)}
}

// tombstoneTTL is how long an abandoned attempt is remembered: longer than any copy of
// a message can remain in a connection.
const tombstoneTTL = 10 * time.Minute

func (l LedgerSettings) limits() ledger.Limits {
	return ledger.Limits{
		MaxRecords:         l.Records,
		MaxAnswerBytes:     l.Bytes,
		Retention:          seconds(l.RetentionS),
		TombstoneRetention: tombstoneTTL,
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
