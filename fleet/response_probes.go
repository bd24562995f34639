package fleet

import (
	"cmp"
	"slices"
	"time"
)

// An answer to a probe that took longer than congestedProbe shows that this process's own
// link or VM is slow; connections take a few milliseconds. Probes that fail within
// congestionHold of it confirm nothing.
const (
	congestedProbe = 60 * time.Millisecond
	congestionHold = 2 * time.Second
	// congestionPause is for how long after a hold the slow answers of the target that
	// caused it cause no other: that target is slow, and is probed about as often as
	// congestionHold, so that no loss of others would ever be confirmed.
	congestionPause = 2 * congestionHold
)

// noteSlowAnswer records that a target took longer than congestedProbe to answer a probe;
// the caller holds mu.
func (f *Fleet) noteSlowAnswer(target string, now time.Time) {
	if target == f.congestedBy && now.Before(f.congestedUntil.Add(congestionPause)) {
		return
	}
	f.congestedUntil, f.congestedBy = now.Add(congestionHold), target
}

// startProbes starts the probes that are due, within the bounds, by their rank. If too few
// others responded lately to tell whether this process is cut off, some of them are probed
// too.
func (f *Fleet) startProbes(due []*targetState, now time.Time) []Target {
	f.probeBudget = min(maxProbes, f.probeBudget+probesPerSecond*now.Sub(f.probeBudgetAt).Seconds())
	f.probeBudgetAt = now
	if len(due) == 0 {
		return nil
	}
	slices.SortFunc(due, func(a, b *targetState) int {
		return cmp.Or(a.probeRank(now)-b.probeRank(now), a.probedAt.Compare(b.probedAt))
	})
	var out []Target
	start := func(s *targetState, heard, silent int) bool {
		if f.probeBudget < 1 || f.probesInFlight >= maxProbes {
			return false
		}
		f.probeBudget--
		f.probesInFlight++
		s.probedAt = now
		s.response.StartProbe(heard, silent)
		out = append(out, s.target)
		return true
	}
	var all *responseEvidence
	controls := 0
	for _, s := range due {
		if _, own := s.response.Unresponsive(now); own {
			if !start(s, 0, 0) {
				break
			}
			continue
		}
		if all == nil {
			all = f.evidence(now)
		}
		heard, silent := all.others(s, now)
		if now.Before(f.congestedUntil) {
			// This process's own link is slow: a probe without an answer proves nothing.
			heard = 0
		}
		if heard <= silent && controls < maxControls {
			controls++
		}
		if !start(s, heard, silent) {
			break
		}
	}
	for _, s := range f.controls(controls, now) {
		start(s, 0, 0)
	}
	return out
}

// responseEvidence is what this process knows of all targets at a moment: when those that
// nothing is known against last responded, in order, and how many have not answered a
// probe lately.
type responseEvidence struct {
	responses []time.Time
	silent    int
}

func (f *Fleet) evidence(now time.Time) *responseEvidence {
	e := &responseEvidence{responses: make([]time.Time, 0, len(f.states))}
	for _, s := range f.states {
		if s.isSilent(now) {
			e.silent++
		} else if at := s.response.LastResponse(); !at.IsZero() {
			e.responses = append(e.responses, at)
		}
	}
	slices.SortFunc(e.responses, time.Time.Compare)
	return e
}

// isSilent reports whether the target has not answered a probe lately.
func (s *targetState) isSilent(now time.Time) bool {
	at, failures := s.response.LastFailure()
	return failures > 0 && now.Sub(at) < silentWindow
}

// others returns how many other targets responded since the first failed probe of one,
// and how many have not answered a probe lately.
func (e *responseEvidence) others(s *targetState, now time.Time) (heard, silent int) {
	since := s.response.FailingSince()
	if since.IsZero() {
		return 0, e.silent
	}
	first, _ := slices.BinarySearchFunc(e.responses, since, time.Time.Compare)
	heard, silent = len(e.responses)-first, e.silent
	if s.isSilent(now) {
		silent--
	} else if !s.response.LastResponse().Before(since) {
		heard--
	}
	return heard, silent
}

// controls returns up to n targets that nothing is known against and that have not been
// heard from for a moment, those that were probed longest ago first.
func (f *Fleet) controls(n int, now time.Time) []*targetState {
	if n == 0 {
		return nil
	}
	var out []*targetState
	for _, s := range f.states {
		_, failures := s.response.LastFailure()
		if failures == 0 && !s.response.ProbeDue(now) && !s.response.Probing() && now.Sub(s.response.LastResponse()) >= controlAge {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *targetState) int { return a.probedAt.Compare(b.probedAt) })
	return out[:min(n, len(out))]
}

// RecordProbe records the result of a probe that CheckResponses asked for. A target that
// refuses the connection responds.
func (f *Fleet) RecordProbe(l Instance, startedAt time.Time, responded bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probesInFlight--
	if responded && now.Sub(startedAt) > congestedProbe {
		f.noteSlowAnswer(l.ID, now)
	}
	s := f.states[l.ID]
	if s == nil || !s.target.Instance().Matches(l) {
		return
	}
	if _, own := s.response.Unresponsive(now); !responded && !own && now.Before(f.congestedUntil) {
		// Otherwise the report of another process and this probe would be own evidence,
		// which is reported in turn.
		s.response.AbandonProbe(now)
		return
	}
	s.response.RecordProbe(startedAt, responded, now)
}

// AbandonProbe records that a probe that CheckResponses asked for was not sent.
func (f *Fleet) AbandonProbe(l Instance, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probesInFlight--
	if s := f.states[l.ID]; s != nil && s.target.Instance().Matches(l) {
		s.response.AbandonProbe(now)
	}
}
