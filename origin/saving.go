package origin

import "maps"

// SaveServices has the records of streams that begin at some services saved, and those that this
// process has made of them before.
func (t *Table) SaveServices(services []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	former := t.saved
	t.saved = make(map[string]bool, len(services))
	for _, service := range services {
		t.saved[service] = true
	}
	if maps.Equal(former, t.saved) {
		return
	}
	for _, g := range []*generation{t.former, t.current} {
		for s, record := range g.records {
			switch o, ok := g.origin(record); {
			case !ok:
				t.save(s, Disputed)
			case record&sourceMask == bySelf && t.saved[o.Service] && !former[o.Service]:
				t.save(s, o)
			}
		}
	}
}

// isSaved reports whether records with an origin are saved; the caller holds mu.
func (t *Table) isSaved(o Origin) bool {
	return t.saved[o.Service] || o == Disputed && len(t.saved) > 0
}

// TakeUnsaved returns the records that have to be saved and have not been, Disputed for those of
// uncertain streams.
func (t *Table) TakeUnsaved() map[Stream]Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.unsaved
	t.unsaved = map[Stream]Origin{}
	return out
}

// PutBackUnsaved takes records back that could not be saved. Later ones of the same streams stay.
func (t *Table) PutBackUnsaved(records map[Stream]Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s, o := range records {
		if _, ok := t.unsaved[s]; !ok {
			t.save(s, o)
		}
	}
}

// Save has a stream saved that is about to begin, and reports whether that is necessary. What was
// saved before for an attempt that did not begin the stream is replaced. If an earlier send of the
// same attempt began it with another origin, both are in doubt: the client may resume either.
func (t *Table) Save(s Stream, o Origin) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isSaved(o) {
		return false
	}
	if known, ok := t.find(s); ok && known != o {
		o = Disputed
	}
	t.save(s, o)
	return true
}

// save has a record saved; the caller holds mu.
func (t *Table) save(s Stream, o Origin) {
	if _, ok := t.unsaved[s]; ok || len(t.unsaved) < maxRecords {
		t.unsaved[s] = o
	}
}
