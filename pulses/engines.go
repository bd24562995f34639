package pulses

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/forecast"
)

// EncodeEngines encodes observations of each service's engines.
func EncodeEngines(reports []forecast.Report) []*keelv1.EngineWord {
	out := make([]*keelv1.EngineWord, 0, len(reports))
	for _, report := range reports {
		w := &keelv1.EngineWord{
			Service: report.Service, Weight: float32(report.Sums.Weight), LoadMs: uint32(report.WeightLoads.IdleDuration.Milliseconds()), LoadsSeen: uint32(report.WeightLoads.Samples),
			Light: float32(report.OfferedLoad.Light), Heavy: float32(report.OfferedLoad.Heavy), Heavies: float32(report.OfferedLoad.HeavyRate), Longs: float32(report.OfferedLoad.LongRate),
			RunSeconds: float32(report.SlotHold.Seconds), RunTokens: float32(report.SlotHold.Tokens),
		}
		for _, hold := range report.ClassHold {
			w.ClassRunSeconds = append(w.ClassRunSeconds, float32(hold.Seconds))
			w.ClassRunTokens = append(w.ClassRunTokens, float32(hold.Tokens))
		}
		w.PauseCross, w.PauseRight, w.PauseWeight = encodePauses(report.Pauses)
		for _, x := range report.Sums.Cross {
			w.Cross = append(w.Cross, float32(x))
		}
		for _, x := range report.Sums.Right {
			w.Right = append(w.Right, float32(x))
		}
		out = append(out, w)
	}
	return out
}

// EnginesSize returns the encoded size of engine reports.
func EnginesSize(reports []forecast.Report) int {
	size := 0
	for _, w := range EncodeEngines(reports) {
		size += proto.Size(w)
	}
	return size
}

// DecodeEngines decodes observations of engines. A report whose matrices have another
// size, such as one of a later version, is ignored.
func DecodeEngines(all []*keelv1.EngineWord) []forecast.Report {
	out := make([]forecast.Report, 0, len(all))
	for _, w := range all {
		report := forecast.Report{
			Service: w.Service,
			WeightLoads: forecast.WeightLoads{
				IdleDuration: time.Duration(w.LoadMs) * time.Millisecond, Samples: int(w.LoadsSeen),
			},
			OfferedLoad: forecast.OfferedLoad{Light: float64(w.Light), Heavy: float64(w.Heavy), HeavyRate: float64(w.Heavies), LongRate: float64(w.Longs)},
			SlotHold:    forecast.TimePerToken{Seconds: float64(w.RunSeconds), Tokens: float64(w.RunTokens)},
		}
		if len(w.Cross) != len(report.Sums.Cross) || len(w.Right) != len(report.Sums.Right) {
			continue
		}
		for i := range min(len(report.ClassHold), len(w.ClassRunSeconds), len(w.ClassRunTokens)) {
			if isAmount(w.ClassRunSeconds[i]) && isAmount(w.ClassRunTokens[i]) {
				report.ClassHold[i] = forecast.TimePerToken{Seconds: float64(w.ClassRunSeconds[i]), Tokens: float64(w.ClassRunTokens[i])}
			}
		}
		report.Pauses = decodePauses(w)
		report.Sums.Weight = float64(w.Weight)
		for i, x := range w.Cross {
			report.Sums.Cross[i] = float64(x)
		}
		for i, x := range w.Right {
			report.Sums.Right[i] = float64(x)
		}
		out = append(out, report)
	}
	return out
}

// encodePauses returns empty lists without samples.
func encodePauses(sums forecast.PauseSums) (cross, right []float32, weight float32) {
	if sums.Weight <= 0 {
		return nil, nil, 0
	}
	for _, x := range sums.Cross {
		cross = append(cross, float32(x))
	}
	for _, x := range sums.Right {
		right = append(right, float32(x))
	}
	return cross, right, float32(sums.Weight)
}

// decodePauses returns sums without samples for lists of another size or with a value that no
// samples have.
func decodePauses(w *keelv1.EngineWord) forecast.PauseSums {
	var sums forecast.PauseSums
	if len(w.PauseCross) != len(sums.Cross) || len(w.PauseRight) != len(sums.Right) || !isAmount(w.PauseWeight) {
		return forecast.PauseSums{}
	}
	for i, x := range w.PauseCross {
		if !isAmount(x) {
			return forecast.PauseSums{}
		}
		sums.Cross[i] = float64(x)
	}
	for i, x := range w.PauseRight {
		if !isAmount(x) {
			return forecast.PauseSums{}
		}
		sums.Right[i] = float64(x)
	}
	sums.Weight = float64(w.PauseWeight)
	return sums
}

// isAmount reports whether x is finite and not negative.
func isAmount(x float32) bool { return x >= 0 && !math.IsInf(float64(x), 1) }
