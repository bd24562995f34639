package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"acaciakeel/fleet"
)

// Figures of the verdict.
const (
	// CrashThreshold is how many targets may end under one content before it is refused. One
	// end says little: all of the sixteen or more requests that a target runs see it.
	// After the second a proper request still may have been there by chance, on a day on
	// which many targets end; by three, each begun after the end before it, none was
	// seen to be.
	CrashThreshold = 3
	// firstTerm is how long the first verdict on a content holds: well over the time for
	// which clients repeat, and about what an operator takes to look. It doubles up to
	// mostTerm with each end on trial after it.
	firstTerm = 10 * time.Minute
	mostTerm  = 24 * time.Hour
	// suspectFor is how long a suspicion is kept: a request may come again after minutes.
	suspectFor = 10 * time.Minute
	// evidenceFor is how long a broken answer waits for a sign that its target ended: one
	// that starts again at once shows by its next word, and the list loses a silent one
	// three heartbeats after its last, three to four seconds.
	evidenceFor = 6 * time.Second
	// underWayFor is for how long another process's word that a suspect is under way
	// holds, unless it says before that the run has ended: about a request.
	underWayFor = time.Second
)

// Bounds of what is kept: a hostile caller may send another content each time.
const (
	// recordsMost is how many contents are kept, about 300 bytes each, and customerMost
	// how many of one customer. Where there are more, the customer's, or all, that
	// ended the fewest targets go first, the oldest of them.
	recordsMost  = 4096
	customerMost = 512
	// brokenMost is how many broken answers wait for evidence: those of a second in
	// which a whole data centre falls away.
	brokenMost = 4096
	// endsKept is how many ends are kept of one content, the newest: one that is served
	// again and again between ends has discharged ones, which must be known if somebody
	// tells of them late.
	endsKept = 32
)

// Case is one request as far as a verdict needs it.
type Case struct {
	Content  Fingerprint
	Service  string
	Customer string
	// Request is the id under which it came this time.
	Request string
}

// record is what is known of one content.
type record struct {
	Case
	// ends are the lives of targets that ended while they ran it.
	ends []end
	at   time.Time
	// until is when the verdict lapses, and term how long it holds; zero before the
	// first.
	until time.Time
	term  time.Duration
	// expired is set once the lapse has been told.
	expired bool
	// untold counts the pulses in which it is still to be told.
	untold int
	// unkept is set where this process is to write to the platform's store what became
	// of the content, kept where that has a verdict, as of a revision.
	unkept   bool
	kept     bool
	revision int64
}

// end is a life that ended under a content. One that was discharged, because the
// content has been served since or an operator lifted the verdict, counts no more,
// whoever tells of it later.
type end struct {
	life       fleet.Instance
	discharged bool
	// known is when this process came to know of it.
	known time.Time
}

// broken is an answer that its target broke off.
type broken struct {
	of   Case
	life fleet.Instance
	// began is when the request was sent there, at when it broke off.
	began, at time.Time
}

// Table keeps the contents under which targets ended. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[Fingerprint]*record
	// running are this process's requests, by content, tried those suspects of them that
	// are at a target, and elsewhere those that others say they have under way.
	running   map[Fingerprint][]*ActiveRequest
	tried     map[*ActiveRequest]fleet.Instance
	elsewhere map[Fingerprint]underWay
	// broken are the answers that wait for evidence, and ended the lives of which it came.
	broken []broken
	ended  map[fleet.Instance]time.Time
	// room is how many bytes may be told, as of toldAt.
	room   int
	toldAt time.Time
	// version counts the ends that were added.
	version int
	// changed is told of each change, outside of the lock.
	changed func(Change)
	changes []Change
}

// underWay is another process's word that a suspect is at a target.
type underWay struct {
	at    fleet.Instance
	heard time.Time
}

func (w underWay) holds(now time.Time) bool {
	return now.Sub(w.heard) <= underWayFor
}

// New returns an empty table. It tells changed of each change; changed may be nil.
func New(changed func(Change)) *Table {
	return &Table{
		records: map[Fingerprint]*record{}, running: map[Fingerprint][]*ActiveRequest{}, tried: map[*ActiveRequest]fleet.Instance{}, elsewhere: map[Fingerprint]underWay{},
		ended: map[fleet.Instance]time.Time{}, changed: changed,
	}
}

// unlock tells what changed, and is how each method that changes something ends.
func (t *Table) unlock() {
	changes := t.changes
	t.changes = nil
	t.mu.Unlock()
	if t.changed == nil {
		return
	}
	for _, c := range changes {
		t.changed(c)
	}
}

// RecordBrokenResponse takes that a target broke off its answer to a request that it was sent at began.
// That counts once the target is known to have ended.
func (t *Table) RecordBrokenResponse(c Case, life fleet.Instance, began, now time.Time) {
	t.mu.Lock()
	defer t.unlock()
	t.age(now)
	b := broken{of: c, life: life, began: began, at: now}
	for l, at := range t.ended {
		if l.Matches(life) && !began.After(at) {
			t.countSeen(b, now)
			return
		}
	}
	if len(t.broken) >= brokenMost {
		t.broken = t.broken[1:]
	}
	t.broken = append(t.broken, b)
}

// countSeen counts an end that this process saw; the caller holds mu. A target may have
// started again with nobody saying so, such as while the store is away: a request that
// was sent there after its last end was known ran in a later life, which is told apart
// by that moment.
func (t *Table) countSeen(b broken, now time.Time) {
	life := b.life
	if r := t.records[b.of.Content]; r != nil && r.has(life) && b.began.After(r.lastEnd(life.ID)) {
		life.Born = b.began.UnixMilli()
	}
	t.count(b.of, life, OriginLocal, now)
}

// AwaitsEvidence reports whether broken answers of a life wait for evidence.
func (t *Table) AwaitsEvidence(life fleet.Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.broken, func(b broken) bool { return b.life.Matches(life) })
}

// RecordCrash takes the evidence that a life of a target has ended, and not as planned.
func (t *Table) RecordCrash(life fleet.Instance, now time.Time) {
	t.mu.Lock()
	defer t.unlock()
	t.age(now)
	t.ended[life] = now
	t.broken = slices.DeleteFunc(t.broken, func(b broken) bool {
		if !b.life.Matches(life) {
			return false
		}
		t.countSeen(b, now)
		return true
	})
}

// age forgets what waited for evidence too long; the caller holds mu.
func (t *Table) age(now time.Time) {
	old := func(at time.Time) bool { return now.Sub(at) > evidenceFor }
	t.broken = slices.DeleteFunc(t.broken, func(b broken) bool { return old(b.at) })
	for life, at := range t.ended {
		if old(at) {
			delete(t.ended, life)
		}
	}
}

// count adds an end to a content's, and begins a verdict where it is one too many; the
// caller holds mu.
func (t *Table) count(c Case, life fleet.Instance, from Origin, now time.Time) {
	r, added := t.hold(c, life, from, now)
	if added && r.counted() >= CrashThreshold && !now.Before(r.until) {
		t.convict(r, c, life, from, now)
	}
}

// hold adds an end to a content's, and reports whether it was not known; the caller holds
// mu.
func (t *Table) hold(c Case, life fleet.Instance, from Origin, now time.Time) (r *record, added bool) {
	r = t.record(c, now)
	if r.has(life) {
		return r, false
	}
	r.add(end{life: life, known: now})
	r.at = now
	t.version++
	if from == OriginLocal {
		r.Case, r.untold = c, toldTimes
		t.change(Change{Kind: Suspected, Origin: from, Target: life, Crashes: r.counted()}, c)
	}
	return r, true
}

// convict begins a verdict; the caller holds mu.
func (t *Table) convict(r *record, c Case, life fleet.Instance, from Origin, now time.Time) {
	r.term = min(max(2*r.term, firstTerm), mostTerm)
	r.until, r.expired, r.kept = now.Add(r.term), false, from == OriginStore
	r.unkept = r.unkept || from == OriginLocal
	t.change(Change{Kind: Convicted, Origin: from, Target: life, Crashes: r.counted(), Until: r.until}, c)
}

func (t *Table) change(change Change, c Case) {
	change.Case = c
	t.changes = append(t.changes, change)
}

// record returns the record of a content, new where there was none; the caller holds
// mu. What is known of its customer and service stays known.
func (t *Table) record(c Case, now time.Time) *record {
	r := t.records[c.Content]
	if r == nil {
		t.makeRoom(c.Customer)
		r = &record{Case: c, at: now}
		t.records[c.Content] = r
	}
	if r.Service == "" {
		r.Case = c
	}
	return r
}

// makeRoom drops what may go where there are too many records, of a customer or at
// all; the caller holds mu.
func (t *Table) makeRoom(customer string) {
	of := func(r *record) bool { return r.Customer == customer }
	own := 0
	for _, r := range t.records {
		if of(r) {
			own++
		}
	}
	switch {
	case own >= customerMost && customer != "":
		t.dropLeast(of)
	case len(t.records) >= recordsMost:
		t.dropLeast(func(*record) bool { return true })
	}
}

func (t *Table) dropLeast(may func(*record) bool) {
	var least *record
	for _, r := range t.records {
		if may(r) && (least == nil || cmp.Or(cmp.Compare(r.counted(), least.counted()), r.at.Compare(least.at)) < 0) {
			least = r
		}
	}
	delete(t.records, least.Content)
	t.change(Change{Kind: Dropped, Crashes: least.counted()}, least.Case)
}

func (r *record) has(life fleet.Instance) bool {
	return slices.ContainsFunc(r.ends, func(e end) bool { return e.life.Matches(life) })
}

// lastEnd returns when the last end of a target came to be known.
func (r *record) lastEnd(target string) time.Time {
	var last time.Time
	for _, e := range r.ends {
		if e.life.ID == target && e.known.After(last) {
			last = e.known
		}
	}
	return last
}

func (r *record) add(e end) {
	r.ends = append(r.ends, e)
	if len(r.ends) > endsKept {
		r.ends = r.ends[1:]
	}
}

// counted returns how many ends count.
func (r *record) counted() int {
	n := 0
	for _, e := range r.ends {
		if !e.discharged {
			n++
		}
	}
	return n
}

func (r *record) convicted(now time.Time) bool {
	return r.counted() >= CrashThreshold && now.Before(r.until)
}

// discharge has no end count any more, and reports whether any did.
func (r *record) discharge() bool {
	had := r.counted() > 0
	for i := range r.ends {
		r.ends[i].discharged = true
	}
	return had
}

// RecordSuccess takes that a target gave a whole good answer to a content: what ended the
// others was not this.
func (t *Table) RecordSuccess(content Fingerprint, now time.Time) {
	t.mu.Lock()
	defer t.unlock()
	t.broken = slices.DeleteFunc(t.broken, func(b broken) bool { return b.of.Content == content })
	r := t.records[content]
	if r == nil || !r.discharge() {
		return
	}
	r.at, r.untold = now, toldTimes
	r.endVerdict()
	t.change(Change{Kind: Cleared, Origin: OriginLocal}, r.Case)
}

// endVerdict ends a verdict. What the store keeps of it has to be lifted there too.
func (r *record) endVerdict() {
	r.unkept = r.kept
	r.until, r.term = time.Time{}, 0
}

// Sweep forgets what is old.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.unlock()
	for content, r := range t.records {
		lapsed := !r.until.IsZero() && !now.Before(r.until)
		if lapsed && !r.expired {
			r.expired, r.at = true, now
			t.change(Change{Kind: Expired, Crashes: r.counted()}, r.Case)
		}
		if !now.Before(r.until) && now.Sub(r.at) > suspectFor {
			delete(t.records, content)
		}
	}
	maps.DeleteFunc(t.elsewhere, func(_ Fingerprint, w underWay) bool { return !w.holds(now) })
}
