// Package agent is the process beside one target. It knows everything that is
// known of that target: its cache, its load, the queue before it, the calls
// that may not be repeated, and the streams that run.
package agent

import (
	"time"

	"acaciakeel/admission"
	"acaciakeel/ledger"
	"acaciakeel/problem"
	"acaciakeel/settings"
)

// Kind is the kind of target that an agent stands beside.
type Kind string

// The kinds of target.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Settings of an agent.
type Settings struct {
	Self     settings.Self     `toml:"self"`
	Platform settings.Platform `toml:"platform"`
	Log      settings.Log      `toml:"log"`
	Target   TargetSettings    `toml:"target"`
	Queue    QueueSettings     `toml:"queue"`
	Ledger   LedgerSettings    `toml:"ledger"`
	Stream   StreamSettings    `toml:"stream"`
	// StopLimitMS is how long a planned stop waits for what runs. Default 60000.
	StopLimitMS float64 `toml:"stop_limit_ms"`
}

// TargetSettings describe the target beside the agent.
type TargetSettings struct {
	// Name is the target's name among the Target resources.
	Name string `toml:"name"`
	// Kind is engine or service.
	Kind Kind `toml:"kind"`
	// URL is where the target serves.
	URL string `toml:"url"`
	// Oracle lets entries ask a stand-in engine for its true state. Measurements only.
	Oracle bool `toml:"oracle"`
}

// QueueSettings bound what waits for the target.
type QueueSettings struct {
	// Length is the most requests that wait. Default 256.
	Length int `toml:"length"`
	// WaitMS is the longest expected wait taken on, in milliseconds. Default 500.
	WaitMS float64 `toml:"wait_ms"`
	// Slots is how many requests the target runs at once. Default 16.
	Slots int `toml:"slots"`
	// PrefillTokens is how many prompt tokens are given to an engine ahead of
	// its work; the rest waits here, where it stays in fair order. Default 6000.
	PrefillTokens int `toml:"prefill_tokens"`
	// PrefillRate is the prefill rate assumed until it is measured, tokens a second. Default 20000.
	PrefillRate float64 `toml:"prefill_rate"`
	// ReservationMS is how long the answer to a question reserves time: about as long as the request takes to follow. Default 3.
	ReservationMS float64 `toml:"reservation_ms"`
}

// LedgerSettings bound the record of calls that may not be repeated.
type LedgerSettings struct {
	// Records and Bytes bound the ledger's memory. Defaults 20000 and 33554432.
	Records int `toml:"records"`
	Bytes   int `toml:"bytes"`
	// RetentionS is how long a finished call is kept, in seconds. Default 900.
	RetentionS float64 `toml:"retention_s"`
	// ClaimTTLS is how long a claim stays in the platform's service, in seconds. Default 86400.
	ClaimTTLS float64 `toml:"claim_ttl_s"`
	// ClockMarginMS bounds the difference of two machines' clocks. Default 2000.
	ClockMarginMS float64 `toml:"clock_margin_ms"`
}

// StreamSettings are the times of streams.
type StreamSettings struct {
	// HeartbeatMS is the pause between heartbeats on an idle stream. Default 300.
	HeartbeatMS float64 `toml:"heartbeat_ms"`
	// EngineSilenceMS is the longest pause of a decoding engine that is
	// believed; then the stream is resumed on a new connection. Default 2000.
	EngineSilenceMS float64 `toml:"engine_silence_ms"`
	// OrphanMS is how long a request runs on without a reader. Default 3000.
	OrphanMS float64 `toml:"orphan_ms"`
	// KeptMS is how long a finished stream can still be read. Default 10000.
	KeptMS float64 `toml:"kept_ms"`
}

// DefaultSettings returns the defaults.
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

// tombstones is how long an abandoned attempt is remembered: no copy of a
// message stays in a connection for longer.
const tombstones = 10 * time.Minute

func (l LedgerSettings) limits() ledger.Limits {
	return ledger.Limits{
		MaxRecords:         l.Records,
		MaxAnswerBytes:     l.Bytes,
		Retention:          seconds(l.RetentionS),
		TombstoneRetention: tombstones,
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
