package pulses

import (
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/fleet"
	"acaciakeel/poison"
)

// EncodeSuspects encodes reports on request contents under which targets crashed.
func EncodeSuspects(reports []poison.Report) []*keelv1.SuspectContent {
	out := make([]*keelv1.SuspectContent, 0, len(reports))
	for _, r := range reports {
		w := &keelv1.SuspectContent{
			Fingerprint: r.Content[:], Service: r.Service, Customer: r.Customer, Request: r.Request, Part: r.Part, RefusedMs: uint64(r.Remaining.Milliseconds()),
		}
		for _, e := range r.Crashes {
			w.Ends = append(w.Ends, &keelv1.TargetLife{Target: e.Instance.ID, Born: e.Instance.Born, Discharged: e.Cleared})
		}
		if r.RunningOn != nil {
			w.UnderWay = &keelv1.TargetLife{Target: r.RunningOn.ID, Born: r.RunningOn.Born}
		}
		out = append(out, w)
	}
	return out
}

// DecodeSuspects decodes reports on suspect contents. A report whose fingerprint has
// the wrong length is ignored.
func DecodeSuspects(all []*keelv1.SuspectContent) []poison.Report {
	var out []poison.Report
	for _, w := range all {
		if len(w.Fingerprint) != len(poison.Fingerprint{}) {
			continue
		}
		r := poison.Report{
			Case:      poison.Case{Content: poison.Fingerprint(w.Fingerprint), Service: w.Service, Customer: w.Customer, Request: w.Request, Part: w.Part},
			Remaining: time.Duration(min(w.RefusedMs, maxRefusedMs)) * time.Millisecond,
		}
		for _, e := range w.Ends {
			r.Crashes = append(r.Crashes, poison.Crash{Instance: fleet.Instance{ID: e.Target, Born: e.Born}, Cleared: e.Discharged})
		}
		if w.UnderWay != nil {
			r.RunningOn = &fleet.Instance{ID: w.UnderWay.Target, Born: w.UnderWay.Born}
		}
		out = append(out, r)
	}
	return out
}

// maxRefusedMs is one year in milliseconds. Larger values are not plausible and would
// overflow a time.Duration.
const maxRefusedMs = 365 * 24 * 3600 * 1000

// EncodeNamings encodes the desired versions of models' weights and for how long each
// has been desired.
func EncodeNamings(namings []fleet.DesiredVersion) []*keelv1.WeightsNaming {
	var out []*keelv1.WeightsNaming
	for _, n := range namings {
		out = append(out, &keelv1.WeightsNaming{Model: n.Model, Version: n.Version, AgeMs: uint64(max(0, n.Age.Milliseconds()))})
	}
	return out
}

func DecodeNamings(all []*keelv1.WeightsNaming) []fleet.DesiredVersion {
	var out []fleet.DesiredVersion
	for _, n := range all {
		// The value comes from the network and may be out of range.
		age := time.Duration(min(n.AgeMs, uint64(maxAge.Milliseconds()))) * time.Millisecond
		out = append(out, fleet.DesiredVersion{Model: n.Model, Version: n.Version, Age: age})
	}
	return out
}

// maxAge bounds the ages of namings and limits that are received. It is far beyond any
// configured staleness of weights.
const maxAge = 24 * time.Hour
