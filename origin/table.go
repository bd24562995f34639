// Package origin keeps which software version began each recent stream, so that a stream is
// continued only at the version that began it. It does no I/O: package node sends the records
// to the other entries and asks them for streams that are not recorded here.
package origin

import (
	"sync"
	"time"

	"acaciakeel/prefix"
)

// Stream identifies a stream: the low 32 bits of a hash. Among 65,536 records, one lookup in
// 65,536 of a stream that is not recorded finds another one's record; among the most that a Table
// holds, one in 16,384.
type Stream uint32

// NewStream returns the stream that a customer's attempt began. Another customer that names
// the same attempt gets another stream.
func NewStream(customer, attempt string) Stream {
	return Stream(prefix.NameHash(customer + "\x00" + attempt))
}

// Origin is the software version that began a stream, and the service whose target it was.
type Origin struct {
	Service string
	Build   string
}

// Disputed is reported for a stream whose recorded origin may be wrong. It ends what is known of
// the stream.
var Disputed = Origin{}

// Report lists streams with one origin.
type Report struct {
	Origin  Origin
	Streams []Stream
}

// Bounds of a Table.
const (
	// Retention is the minimum time that a record is kept: at least as long as clients wait
	// for a stream. A record is kept for twice that time at most.
	Retention = 30 * time.Second
	// RefreshInterval is how often a stream that is in progress is recorded again.
	RefreshInterval = Retention / 2
	// maxRecords bounds the records of one generation, at about 24 bytes each: 4,800 streams a
	// second for most of Retention, as an entry that starts reads them in the store.
	maxRecords = 1 << 17
	// maxOrigins bounds the origins of one generation.
	maxOrigins = 1 << 10
)

// Table holds the records of this process and those received from other ones. It is safe for
// concurrent use.
type Table struct {
	mu sync.Mutex
	// current receives records; former is dropped when current becomes former.
	current, former *generation
	rotatedAt       time.Time
	// unsent are this process's records that have not been sent to other processes yet.
	unsent map[Origin][]Stream
	// unsaved are those that have not been saved to the store. A later one replaces that of an
	// attempt which did not begin the stream.
	unsaved map[Stream]Origin
	// saved are the services whose records are saved.
	saved map[string]bool
	early int
}

// generation is the records of a period. A record is an index in origins, shifted left by
// sourceBits, and who made it.
type generation struct {
	records map[Stream]uint16
	origins []Origin
	index   map[Origin]uint16
}

// Who made a record.
const (
	byOther uint16 = iota
	bySelf
	byStore

	sourceBits = 2
	sourceMask = 1<<sourceBits - 1
)

var recordSources = [...]Source{byOther: OtherEntry, bySelf: ThisEntry, byStore: Stored}

// ambiguous is the record of a stream that has been recorded with different origins.
const ambiguous = ^uint16(0)

func newGeneration() *generation {
	return &generation{records: map[Stream]uint16{}, index: map[Origin]uint16{}}
}

// NewTable returns an empty table.
func NewTable(now time.Time) *Table {
	return &Table{current: newGeneration(), former: newGeneration(), rotatedAt: now, unsent: map[Origin][]Stream{}, unsaved: map[Stream]Origin{}}
}

// Record records a stream that began at this process, to be sent with the next reports and saved if
// that is necessary. announced is the origin that Save was last called with; empty if it was not, or
// if it was not necessary.
func (t *Table) Record(s Stream, o, announced Origin, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(s, o, now)
	recorded, _ := t.find(s)
	isAnnounced := announced != Origin{}
	if isAnnounced && announced != recorded || !isAnnounced && t.isSaved(recorded) {
		t.save(s, recorded)
	}
}

// record records a stream that began at this process; the caller holds mu.
func (t *Table) record(s Stream, o Origin, now time.Time) {
	t.add(s, o, bySelf, now)
	if len(t.unsent) < maxOrigins && len(t.unsent[o]) < maxRecords {
		t.unsent[o] = append(t.unsent[o], s)
	}
}

// Apply records the reports of another process.
func (t *Table) Apply(reports []Report, now time.Time) {
	t.apply(reports, byOther, now)
}

// ApplyStored records the reports that a process has saved.
func (t *Table) ApplyStored(reports []Report, now time.Time) {
	t.apply(reports, byStore, now)
}

func (t *Table) apply(reports []Report, source uint16, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		for _, s := range r.Streams {
			t.add(s, r.Origin, source, now)
		}
	}
}

// TakeReports returns the records that have not been sent yet.
func (t *Table) TakeReports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for o, streams := range t.unsent {
		out = append(out, Report{Origin: o, Streams: streams})
	}
	clear(t.unsent)
	return out
}

// HasUnsent reports whether there are records that have not been sent yet.
func (t *Table) HasUnsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.unsent) > 0
}

// Lookup returns the recorded origin of a stream; ok is false if there is none, or a disputed one.
func (t *Table) Lookup(s Stream, now time.Time) (r Resolution, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	for _, g := range []*generation{t.current, t.former} {
		if record, found := g.records[s]; found {
			o, ok := g.origin(record)
			if !ok {
				return Resolution{}, false
			}
			return Resolution{Origin: o, Source: recordSources[record&sourceMask]}, true
		}
	}
	return Resolution{}, false
}

// IsDisputed reports whether a stream has been recorded with different origins, or as Disputed.
func (t *Table) IsDisputed(s Stream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	o, ok := t.find(s)
	return ok && o == Disputed
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.current.records) + len(t.former.records)
}

// DroppedEarly returns how many generations were dropped before Retention because they were
// full.
func (t *Table) DroppedEarly() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.early
}

// add adds a record; the caller holds mu.
func (t *Table) add(s Stream, o Origin, source uint16, now time.Time) {
	t.rotate(now)
	record, isNew := t.current.encode(o, source)
	if known, ok := t.find(s); o == Disputed || ok && known != o {
		record = ambiguous
	}
	if _, ok := t.current.records[s]; !ok && len(t.current.records) >= maxRecords || isNew && len(t.current.origins) > maxOrigins {
		t.early++
		t.startGeneration(now)
		if record != ambiguous {
			record, _ = t.current.encode(o, source)
		}
	}
	t.current.records[s] = record
}

// find returns the recorded origin of a stream, Disputed if it is ambiguous; the caller holds mu.
func (t *Table) find(s Stream) (Origin, bool) {
	for _, g := range []*generation{t.current, t.former} {
		if record, ok := g.records[s]; ok {
			if o, ok := g.origin(record); ok {
				return o, true
			}
			return Disputed, true
		}
	}
	return Origin{}, false
}

// encode returns the record of an origin, and whether the origin is new to the generation.
func (g *generation) encode(o Origin, source uint16) (record uint16, isNew bool) {
	i, ok := g.index[o]
	if !ok {
		i = uint16(len(g.origins))
		g.origins, g.index[o] = append(g.origins, o), i
	}
	return i<<sourceBits | source, !ok
}

// origin returns the origin of a record; ok is false if it is ambiguous.
func (g *generation) origin(record uint16) (o Origin, ok bool) {
	if record == ambiguous {
		return Origin{}, false
	}
	return g.origins[record>>sourceBits], true
}

// rotate starts a new generation once the current one is as old as Retention; the caller holds
// mu.
func (t *Table) rotate(now time.Time) {
	switch age := now.Sub(t.rotatedAt); {
	case age < Retention:
	case age < 2*Retention:
		t.startGeneration(t.rotatedAt.Add(Retention))
	default:
		t.former = newGeneration()
		t.current = newGeneration()
		t.rotatedAt = now
	}
}

// startGeneration makes the current generation the former one and starts the next one at a time;
// the caller holds mu.
func (t *Table) startGeneration(at time.Time) {
	t.former, t.current, t.rotatedAt = t.current, newGeneration(), at
}
