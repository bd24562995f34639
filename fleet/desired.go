package fleet

import (
	"cmp"
	"slices"
	"time"
)

// desiredEntry is a version of a model's weights and since when it is taken as desired:
// never later than the operators' change was acknowledged.
type desiredEntry struct {
	version int64
	at      time.Time
	// estimated is set if it is not known when the version became desired.
	estimated bool
}

// desiredHistory is the desired versions of one model, oldest first. Several may become
// desired before all targets have the first, and each has its own bound.
type desiredHistory struct {
	entries []desiredEntry
}

// maxDesiredEntries bounds a history. A target behind by more versions counts as stale
// since the oldest remaining one.
const maxDesiredEntries = 16

func (h *desiredHistory) newest() int64 {
	if h == nil || len(h.entries) == 0 {
		return 0
	}
	return h.entries[len(h.entries)-1].version
}

// staleFor returns for how long newer weights than version have been desired.
func (h *desiredHistory) staleFor(version int64, now time.Time) time.Duration {
	if h == nil {
		return 0
	}
	for _, n := range h.entries {
		if n.version > version {
			return now.Sub(n.at)
		}
	}
	return 0
}

// add inserts an entry in order and reports whether the history changed.
func (h *desiredHistory) add(n desiredEntry) bool {
	at, found := slices.BinarySearchFunc(h.entries, n.version, func(have desiredEntry, version int64) int { return cmp.Compare(have.version, version) })
	switch {
	case found && !h.entries[at].estimated, at == 0 && len(h.entries) == maxDesiredEntries:
		return false
	case found:
		h.entries[at] = n
	default:
		h.entries = slices.Insert(h.entries, at, n)
	}
	h.entries = h.entries[max(0, len(h.entries)-maxDesiredEntries):]
	return true
}

// RecordDesired records that a version of a model's weights has been desired since a
// time, with estimated set if that time is not known. It reports whether the version is
// new; versions never go back.
func (f *Fleet) RecordDesired(model string, version int64, at time.Time, estimated bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.desired[model]
	if version <= h.newest() {
		return false
	}
	if h == nil {
		h = &desiredHistory{}
		f.desired[model] = h
	}
	return h.add(desiredEntry{version: version, at: at, estimated: estimated})
}

// DesiredVersion is a version of a model's weights and for how long it has been desired.
type DesiredVersion struct {
	Model   string
	Version int64
	Age     time.Duration
}

// DesiredHistory returns what a process that has just started needs to know how stale
// each version is: the versions that became desired within a time, and the last one
// before. Entries with an estimated time are not shared.
func (f *Fleet) DesiredHistory(within time.Duration, now time.Time) []DesiredVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []DesiredVersion
	for model, h := range f.desired {
		for _, n := range slices.Backward(h.entries) {
			if n.estimated {
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

// MergeDesiredHistory applies what another process knows of desired versions and this one
// can't know: those before the newest that it found when it started, and when that one
// became desired. Late updates about versions that it observed itself change nothing. It
// returns the entries that were new.
func (f *Fleet) MergeDesiredHistory(all []DesiredVersion, now time.Time) []DesiredVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	var added []DesiredVersion
	for _, n := range all {
		h := f.desired[n.Model]
		if h.newest() == 0 || n.Version > h.newest() {
			continue
		}
		if h.add(desiredEntry{version: n.Version, at: now.Add(-n.Age)}) {
			added = append(added, n)
		}
	}
	return added
}

// DesiredVersions returns the newest desired version of each model.
func (f *Fleet) DesiredVersions() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int64, len(f.desired))
	for model, h := range f.desired {
		out[model] = h.newest()
	}
	return out
}

// DesiredVersion returns the newest desired version of a model, 0 if there is none.
func (f *Fleet) DesiredVersion(model string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.desired[model].newest()
}

// StaleFor returns for how long newer weights than version have been desired.
func (f *Fleet) StaleFor(model string, version int64, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.desired[model].staleFor(version, now)
}
