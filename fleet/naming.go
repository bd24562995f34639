package fleet

import (
	"cmp"
	"slices"
	"time"
)

// naming is a version of a model's weights and since when it is taken to be wanted:
// never later than the operators' word was acknowledged.
type naming struct {
	version int64
	at      time.Time
	// guessed is set where nothing tells when it was named.
	guessed bool
}

// history is the versions named of one model, oldest first. Several may be
// named before all runners have the first, and each has a bound of its own.
type history struct {
	namings []naming
}

// keptNamings bounds a history. A runner behind by more counts as behind since
// the oldest one kept.
const keptNamings = 16

func (h *history) newest() int64 {
	if h == nil || len(h.namings) == 0 {
		return 0
	}
	return h.namings[len(h.namings)-1].version
}

// behindFor returns for how long newer weights than version have been wanted.
func (h *history) behindFor(version int64, now time.Time) time.Duration {
	if h == nil {
		return 0
	}
	for _, n := range h.namings {
		if n.version > version {
			return now.Sub(n.at)
		}
	}
	return 0
}

// add takes a naming in, in its place, and reports whether that is news.
func (h *history) add(n naming) bool {
	at, found := slices.BinarySearchFunc(h.namings, n.version, func(have naming, version int64) int { return cmp.Compare(have.version, version) })
	switch {
	case found && !h.namings[at].guessed, at == 0 && len(h.namings) == keptNamings:
		return false
	case found:
		h.namings[at] = n
	default:
		h.namings = slices.Insert(h.namings, at, n)
	}
	h.namings = h.namings[max(0, len(h.namings)-keptNamings):]
	return true
}

// RecordDesired notes that a version of a model's weights has been wanted since a time, guessed
// where nothing tells since when, and reports whether it is news. Versions never go back.
func (f *Fleet) RecordDesired(model string, version int64, at time.Time, guessed bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.named[model]
	if version <= h.newest() {
		return false
	}
	if h == nil {
		h = &history{}
		f.named[model] = h
	}
	return h.add(naming{version: version, at: at, guessed: guessed})
}

// DesiredVersion is a version of a model's weights and for how long it has been wanted.
type DesiredVersion struct {
	Model   string
	Version int64
	Age     time.Duration
}

// DesiredHistory returns the namings that a process which has just started needs to know how
// long each version is behind: those within a time, and the last one before. What is
// guessed is not told.
func (f *Fleet) DesiredHistory(within time.Duration, now time.Time) []DesiredVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []DesiredVersion
	for model, h := range f.named {
		for _, n := range slices.Backward(h.namings) {
			if n.guessed {
				break
			}
			age := now.Sub(n.at)
			out = append(out, DesiredVersion{Model: model, Version: n.version, Age: age})
			if age >= within {
				break
			}
		}
	}
	return out
}

// MergeDesiredHistory takes what another process knows of namings of which this one can't
// know: those before the newest that it found when it started, and when that was. Late
// words on what it heard itself change nothing. It returns what was news.
func (f *Fleet) MergeDesiredHistory(all []DesiredVersion, now time.Time) []DesiredVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	var news []DesiredVersion
	for _, n := range all {
		h := f.named[n.Model]
		if h.newest() == 0 || n.Version > h.newest() {
			continue
		}
		if h.add(naming{version: n.Version, at: now.Add(-n.Age)}) {
			news = append(news, n)
		}
	}
	return news
}

// DesiredVersions returns the newest version named of each model.
func (f *Fleet) DesiredVersions() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int64, len(f.named))
	for model, h := range f.named {
		out[model] = h.newest()
	}
	return out
}

// DesiredVersion returns the newest version named of a model, 0 where none is.
func (f *Fleet) DesiredVersion(model string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.named[model].newest()
}

// StaleFor returns for how long newer weights than version have been wanted.
func (f *Fleet) StaleFor(model string, version int64, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.named[model].behindFor(version, now)
}
