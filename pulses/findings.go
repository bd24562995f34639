package pulses

import (
	"math"
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/fleet"
)

func encodeFindings(findings []fleet.TargetUpdate) []*keelv1.TargetFinding {
	out := make([]*keelv1.TargetFinding, 0, len(findings))
	for _, finding := range findings {
		w := &keelv1.TargetFinding{Target: finding.Target.ID, Born: finding.Target.Born, BusyMs: uint32(finding.BusyFor.Milliseconds()), Leaving: finding.ShuttingDown}
		for model, version := range finding.Weights {
			w.Weights = append(w.Weights, &keelv1.LoadedWeights{Model: model, Version: version})
		}
		w.PartHash, w.PartTokens = encodeParts(finding.Parts)
		w.Limit = encodeTargetLimit(finding.Limit)
		w.SlowdownPercent, w.SlowdownAgeMs = encodePercent(finding.Slowdown), uint32(finding.SlowdownAge.Milliseconds())
		w.SpeedPercent, w.SpeedSamples = encodePercent(finding.Speed), uint32(finding.SpeedSamples)
		if w.Unresponsive = finding.Unresponsive; w.Unresponsive {
			w.UnresponsiveAgeMs = uint32(min(max(0, finding.UnresponsiveAge), maxAge).Milliseconds())
		}
		out = append(out, w)
	}
	return out
}

// maxPercent bounds the percentages that are sent and received.
const maxPercent = 10000

// encodePercent encodes a ratio, at least one percent if it is above 0.
func encodePercent(ratio float64) uint32 {
	if !(ratio > 0) {
		return 0
	}
	return uint32(min(max(math.Round(100*ratio), 1), maxPercent))
}

// decodePercent returns 0 for a percentage out of range, as for a missing one.
func decodePercent(percent uint32) float64 {
	if percent > maxPercent {
		return 0
	}
	return float64(percent) / 100
}

func encodeTargetLimit(limit *fleet.LimitUpdate) *keelv1.TargetLimit {
	if limit == nil {
		return nil
	}
	return &keelv1.TargetLimit{Named: limit.Declared, Rate: limit.Rate, AgeUs: Micros(limit.Age)}
}

// decodeTargetLimit returns nil for a missing limit and for one whose rate is negative
// or NaN.
func decodeTargetLimit(w *keelv1.TargetLimit) *fleet.LimitUpdate {
	if w == nil || math.IsNaN(w.Rate) || w.Rate < 0 {
		return nil
	}
	return &fleet.LimitUpdate{Limit: fleet.Limit{Declared: w.Named, Rate: w.Rate}, Age: FromMicros(min(w.AgeUs, Micros(maxAge)))}
}

func DecodeFindings(all []*keelv1.TargetFinding) []fleet.TargetUpdate {
	out := make([]fleet.TargetUpdate, 0, len(all))
	for _, w := range all {
		finding := fleet.TargetUpdate{
			Target:       fleet.Instance{ID: w.Target, Born: w.Born},
			Weights:      map[string]int64{},
			BusyFor:      time.Duration(w.BusyMs) * time.Millisecond,
			Parts:        decodeParts(w.PartHash, w.PartTokens),
			Limit:        decodeTargetLimit(w.Limit),
			ShuttingDown: w.Leaving,
			Slowdown:     decodePercent(w.SlowdownPercent),
			SlowdownAge:  time.Duration(w.SlowdownAgeMs) * time.Millisecond,
			Speed:        decodePercent(w.SpeedPercent),
			SpeedSamples: int(w.SpeedSamples),
			Unresponsive: w.Unresponsive,
		}
		if w.Unresponsive {
			finding.UnresponsiveAge = min(time.Duration(w.UnresponsiveAgeMs)*time.Millisecond, maxAge)
		}
		for _, l := range w.Weights {
			finding.Weights[l.Model] = l.Version
		}
		out = append(out, finding)
	}
	return out
}

func encodeParts(parts []fleet.Part) (hashes []uint64, tokens []uint32) {
	for _, p := range parts {
		hashes = append(hashes, p.Hash)
		tokens = append(tokens, uint32(p.Tokens))
	}
	return hashes, tokens
}

func decodeParts(hashes []uint64, tokens []uint32) []fleet.Part {
	var out []fleet.Part
	for i := range min(len(hashes), len(tokens)) {
		out = append(out, fleet.Part{Hash: hashes[i], Tokens: int(tokens[i])})
	}
	return out
}
