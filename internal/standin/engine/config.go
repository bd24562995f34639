// Package engine is a stand-in of a model engine: continuous batching with an
// honest model of time, a prefix cache in limited memory, late cache events
// with gaps, a lagging load report, resumable streams, and orders with
// fencing. It counts its own hits and recomputed tokens.
package engine

import "time"

// Config is the engine's constants. Times are in milliseconds.
type Config struct {
	// Listen is the address to serve on, IP:PORT.
	Listen string `toml:"listen"`
	// Model is the name of the model served.
	Model string `toml:"model"`
	// WeightsVersion is what is loaded at the start.
	WeightsVersion string `toml:"weights_version"`
	// Build is the version of the engine's software; empty states none.
	Build string `toml:"build"`
	// PrefillRate is prompt tokens computed a second.
	PrefillRate float64 `toml:"prefill_rate"`
	// StepMS is the time of one decoding step.
	StepMS float64 `toml:"step_ms"`
	// PieceTokens is the most prompt tokens computed in one step.
	PieceTokens int `toml:"piece_tokens"`
	// Slots is how many sequences run at once.
	Slots int `toml:"slots"`
	// BlockTokens is the size of one cache block.
	BlockTokens int `toml:"block_tokens"`
	// CacheBlocks is how many blocks the cache holds.
	CacheBlocks int `toml:"cache_blocks"`
	// EventDelayMS makes cache events late; EventLoss is the share lost.
	EventDelayMS float64 `toml:"event_delay_ms"`
	EventLoss    float64 `toml:"event_loss"`
	// LoadLagMS is the age of the load report.
	LoadLagMS float64 `toml:"load_lag_ms"`
	// LoadWeightsMS is how long new weights take while at most three runners load.
	LoadWeightsMS float64 `toml:"load_weights_ms"`
	// WeightStore is the URL of the weight store; empty is none.
	WeightStore string `toml:"weight_store"`
	// IgnoreFencing makes the engine take orders with old fencing numbers.
	IgnoreFencing bool `toml:"ignore_fencing"`
	// ResumeGraceMS is how long a sequence runs on without a reader.
	ResumeGraceMS float64 `toml:"resume_grace_ms"`
	// RestartMS is how long a crash keeps the engine away.
	RestartMS float64 `toml:"restart_ms"`
}

// Defaults returns the constants of a runner of today's size.
func Defaults() Config {
	return Config{
		Listen:         "127.0.0.1:0",
		Model:          "catalogue",
		WeightsVersion: "v1",
		PrefillRate:    40000,
		StepMS:         5,
		PieceTokens:    4000,
		Slots:          16,
		BlockTokens:    16,
		CacheBlocks:    10000,
		EventDelayMS:   20,
		LoadLagMS:      200,
		LoadWeightsMS:  400,
		ResumeGraceMS:  2000,
		RestartMS:      500,
	}
}

func millis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
