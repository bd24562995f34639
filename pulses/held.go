package pulses

import (
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/fleet"
	"acaciakeel/poison"
)

// EncodeSuspects encodes contents under which targets ended.
func EncodeSuspects(all []poison.Report) []*keelv1.SuspectContent {
	out := make([]*keelv1.SuspectContent, 0, len(all))
	for _, r := range all {
		w := &keelv1.SuspectContent{
			Fingerprint: r.Content[:], Service: r.Service, Customer: r.Customer, Request: r.Request, RefusedMs: uint64(r.Remaining.Milliseconds()),
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

// DecodeSuspects leaves out what names no content.
func DecodeSuspects(all []*keelv1.SuspectContent) []poison.Report {
	var out []poison.Report
	for _, w := range all {
		if len(w.Fingerprint) != len(poison.Fingerprint{}) {
			continue
		}
		r := poison.Report{
			Case:      poison.Case{Content: poison.Fingerprint(w.Fingerprint), Service: w.Service, Customer: w.Customer, Request: w.Request},
			Remaining: time.Duration(min(w.RefusedMs, refusedMost)) * time.Millisecond,
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

// refusedMost is a year in milliseconds: more is no time that could be meant, and would
// overflow a duration.
const refusedMost = 365 * 24 * 3600 * 1000

// EncodeNamings encodes namings of weights.
func EncodeNamings(all []fleet.DesiredVersion) []*keelv1.WeightsNaming {
	var out []*keelv1.WeightsNaming
	for _, n := range all {
		out = append(out, &keelv1.WeightsNaming{Model: n.Model, Version: n.Version, AgeMs: uint64(max(0, n.Age.Milliseconds()))})
	}
	return out
}

// DecodeNamings decodes them.
func DecodeNamings(all []*keelv1.WeightsNaming) []fleet.DesiredVersion {
	var out []fleet.DesiredVersion
	for _, n := range all {
		// A word is a peer's, not to be trusted to fit.
		age := time.Duration(min(n.AgeMs, uint64(longestAge.Milliseconds()))) * time.Millisecond
		out = append(out, fleet.DesiredVersion{Model: n.Model, Version: n.Version, Age: age})
	}
	return out
}

// longestAge bounds the age of a naming that is told: far beyond any bound on weights.
const longestAge = 24 * time.Hour
