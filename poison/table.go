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
	// initialVerdictDuration is how long the first verdict on a content holds: well over the time for
	// which clients repeat, and about what an operator takes to look. It doubles up to
	// mostTerm with each end on trial after it.
	initialVerdictDuration = 10 * time.Minute
	maxVerdictDuration     = 24 * time.Hour
	// suspicionTTL is how long a suspicion is kept: a request may come again after minutes.
	suspicionTTL = 10 * time.Minute
	// evidenceTimeout is how long a broken answer waits for a sign that its target ended: one
	// that starts again at once shows by its next word, and the list loses a silent one
	// three heartbeats after its last, three to four seconds.
	evidenceTimeout = 6 * time.Second
	// remoteRunTTL is for how long another process's word that a suspect is under way
	// holds, unless it says before that the run has ended: about a request.
	remoteRunTTL = time.Second
)

// Bounds of what is kept: a hostile caller may send another content each time.
const (
	// maxRecords is how many contents are kept, about 300 bytes each, and customerMost
	// how many of one customer. Where there are more, the customer's, or all, that
	// ended the fewest targets go first, the oldest of them.
	maxRecords            = 4096
	maxRecordsPerCustomer = 512
	// maxBrokenResponses is how many broken answers wait for evidence: those of a second in
	// which a whole data centre falls away.
	maxBrokenResponses = 4096
	// maxCrashesPerRecord is how many ends are kept of one content, the newest: one that is served
	// again and again between ends has discharged ones, which must be known if somebody
	// tells of them late.
	maxCrashesPerRecord = 32
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
	// crashes are the lives of targets that ended while they ran it.
	crashes   []crashEntry
	updatedAt time.Time
	// until is when the verdict lapses, and term how long it holds; zero before the
	// first.
	until    time.Time
	duration time.Duration
	// expiryReported is set once the lapse has been told.
	expiryReported bool
	// pendingSends counts the pulses in which it is still to be told.
	pendingSends int
	// needsWrite is set where this process is to write to the platform's store what became
	// of the content, kept where that has a verdict, as of a revision.
	needsWrite bool
	inStore    bool
	revision   int64
}

// crashEntry is a life that ended under a content. One that was discharged, because the
// content has been served since or an operator lifted the verdict, counts no more,
// whoever tells of it later.
type crashEntry struct {
	instance fleet.Instance
	cleared  bool
	// learnedAt is when this process came to know of it.
	learnedAt time.Time
}

// brokenResponse is an answer that its target broke off.
type brokenResponse struct {
	request  Case
	instance fleet.Instance
	// sentAt is when the request was sent there, brokenAt when it broke off.
	sentAt, brokenAt time.Time
}

// Table keeps the contents under which targets ended. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[Fingerprint]*record
	// running are this process's requests, by content, tried those suspects of them that
	// are at a target, and elsewhere those that others say they have under way.
	running        map[Fingerprint][]*ActiveRequest
	localSuspects  map[*ActiveRequest]fleet.Instance
	remoteSuspects map[Fingerprint]remoteRun
	// brokenResponses are the answers that wait for evidence, and ended the lives of which it came.
	brokenResponses []brokenResponse
	crashedAt       map[fleet.Instance]time.Time
	// sendBudget is how many bytes may be told, as of toldAt.
	sendBudget   int
	sendBudgetAt time.Time
	// version counts the ends that were added.
	version int
	// onChange is told of each change, outside of the lock.
	onChange func(Change)
	changes  []Change
}

// remoteRun is another process's word that a suspect is at a target.
type remoteRun struct {
	target     fleet.Instance
	reportedAt time.Time
}

func (r remoteRun) valid(now time.Time) bool {
	return now.Sub(r.reportedAt) <= remoteRunTTL
}

// New returns an empty table. It tells changed of each change; changed may be nil.
func New(onChange func(Change)) *Table {
	return &Table{
		records: map[Fingerprint]*record{}, running: map[Fingerprint][]*ActiveRequest{}, localSuspects: map[*ActiveRequest]fleet.Instance{}, remoteSuspects: map[Fingerprint]remoteRun{},
		crashedAt: map[fleet.Instance]time.Time{}, onChange: onChange,
	}
}

// unlockAndNotify tells what changed, and is how each method that changes something ends.
func (t *Table) unlockAndNotify() {
	changes := t.changes
	t.changes = nil
	t.mu.Unlock()
	if t.onChange == nil {
		return
	}
	for _, c := range changes {
		t.onChange(c)
	}
}

// RecordBrokenResponse takes that a target broke off its answer to a request that it was sent at began.
// That counts once the target is known to have ended.
func (t *Table) RecordBrokenResponse(c Case, instance fleet.Instance, sentAt, now time.Time) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	t.dropStaleEvidence(now)
	b := brokenResponse{request: c, instance: instance, sentAt: sentAt, brokenAt: now}
	for other, at := range t.crashedAt {
		if other.Matches(instance) && !sentAt.After(at) {
			t.countLocalCrash(b, now)
			return
		}
	}
	if len(t.brokenResponses) >= maxBrokenResponses {
		t.brokenResponses = t.brokenResponses[1:]
	}
	t.brokenResponses = append(t.brokenResponses, b)
}

// countLocalCrash counts an end that this process saw; the caller holds mu. A target may have
// started again with nobody saying so, such as while the store is away: a request that
// was sent there after its last end was known ran in a later life, which is told apart
// by that moment.
func (t *Table) countLocalCrash(b brokenResponse, now time.Time) {
	instance := b.instance
	if r := t.records[b.request.Content]; r != nil && r.hasCrash(instance) && b.sentAt.After(r.lastCrash(instance.ID)) {
		instance.Born = b.sentAt.UnixMilli()
	}
	t.countCrash(b.request, instance, OriginLocal, now)
}

// AwaitsEvidence reports whether broken answers of a life wait for evidence.
func (t *Table) AwaitsEvidence(instance fleet.Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.brokenResponses, func(b brokenResponse) bool { return b.instance.Matches(instance) })
}

// RecordCrash takes the evidence that a life of a target has ended, and not as planned.
func (t *Table) RecordCrash(instance fleet.Instance, now time.Time) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	t.dropStaleEvidence(now)
	t.crashedAt[instance] = now
	t.brokenResponses = slices.DeleteFunc(t.brokenResponses, func(b brokenResponse) bool {
		if !b.instance.Matches(instance) {
			return false
		}
		t.countLocalCrash(b, now)
		return true
	})
}

// dropStaleEvidence forgets what waited for evidence too long; the caller holds mu.
func (t *Table) dropStaleEvidence(now time.Time) {
	stale := func(at time.Time) bool { return now.Sub(at) > evidenceTimeout }
	t.brokenResponses = slices.DeleteFunc(t.brokenResponses, func(b brokenResponse) bool { return stale(b.brokenAt) })
	for instance, at := range t.crashedAt {
		if stale(at) {
			delete(t.crashedAt, instance)
		}
	}
}

// countCrash adds an end to a content's, and begins a verdict where it is one too many; the
// caller holds mu.
func (t *Table) countCrash(c Case, instance fleet.Instance, origin Origin, now time.Time) {
	r, added := t.addCrash(c, instance, origin, now)
	if added && r.countedCrashes() >= CrashThreshold && !now.Before(r.until) {
		t.convict(r, c, instance, origin, now)
	}
}

// addCrash adds an end to a content's, and reports whether it was not known; the caller holds
// mu.
func (t *Table) addCrash(c Case, instance fleet.Instance, origin Origin, now time.Time) (r *record, added bool) {
	r = t.record(c, now)
	if r.hasCrash(instance) {
		return r, false
	}
	r.appendCrash(crashEntry{instance: instance, learnedAt: now})
	r.updatedAt = now
	t.version++
	if origin == OriginLocal {
		r.Case, r.pendingSends = c, crashRepeats
		t.addChange(Change{Kind: Suspected, Origin: origin, Target: instance, Crashes: r.countedCrashes()}, c)
	}
	return r, true
}

// convict begins a verdict; the caller holds mu.
func (t *Table) convict(r *record, c Case, instance fleet.Instance, origin Origin, now time.Time) {
	r.duration = min(max(2*r.duration, initialVerdictDuration), maxVerdictDuration)
	r.until, r.expiryReported, r.inStore = now.Add(r.duration), false, origin == OriginStore
	r.needsWrite = r.needsWrite || origin == OriginLocal
	t.addChange(Change{Kind: Convicted, Origin: origin, Target: instance, Crashes: r.countedCrashes(), Until: r.until}, c)
}

func (t *Table) addChange(change Change, c Case) {
	change.Case = c
	t.changes = append(t.changes, change)
}

// record returns the record of a content, new where there was none; the caller holds
// mu. What is known of its customer and service stays known.
func (t *Table) record(c Case, now time.Time) *record {
	r := t.records[c.Content]
	if r == nil {
		t.evictIfFull(c.Customer)
		r = &record{Case: c, updatedAt: now}
		t.records[c.Content] = r
	}
	if r.Service == "" {
		r.Case = c
	}
	return r
}

// evictIfFull drops what may go where there are too many records, of a customer or at
// all; the caller holds mu.
func (t *Table) evictIfFull(customer string) {
	sameCustomer := func(r *record) bool { return r.Customer == customer }
	own := 0
	for _, r := range t.records {
		if sameCustomer(r) {
			own++
		}
	}
	switch {
	case own >= maxRecordsPerCustomer && customer != "":
		t.evictLeast(sameCustomer)
	case len(t.records) >= maxRecords:
		t.evictLeast(func(*record) bool { return true })
	}
}

func (t *Table) evictLeast(eligible func(*record) bool) {
	var least *record
	for _, r := range t.records {
		if eligible(r) && (least == nil || cmp.Or(cmp.Compare(r.countedCrashes(), least.countedCrashes()), r.updatedAt.Compare(least.updatedAt)) < 0) {
			least = r
		}
	}
	delete(t.records, least.Content)
	t.addChange(Change{Kind: Dropped, Crashes: least.countedCrashes()}, least.Case)
}

func (r *record) hasCrash(instance fleet.Instance) bool {
	return slices.ContainsFunc(r.crashes, func(e crashEntry) bool { return e.instance.Matches(instance) })
}

// lastCrash returns when the last end of a target came to be known.
func (r *record) lastCrash(target string) time.Time {
	var last time.Time
	for _, e := range r.crashes {
		if e.instance.ID == target && e.learnedAt.After(last) {
			last = e.learnedAt
		}
	}
	return last
}

func (r *record) appendCrash(e crashEntry) {
	r.crashes = append(r.crashes, e)
	if len(r.crashes) > maxCrashesPerRecord {
		r.crashes = r.crashes[1:]
	}
}

// countedCrashes returns how many ends count.
func (r *record) countedCrashes() int {
	n := 0
	for _, e := range r.crashes {
		if !e.cleared {
			n++
		}
	}
	return n
}

func (r *record) convicted(now time.Time) bool {
	return r.countedCrashes() >= CrashThreshold && now.Before(r.until)
}

// clearCrashes has no end count any more, and reports whether any did.
func (r *record) clearCrashes() bool {
	hadCounted := r.countedCrashes() > 0
	for i := range r.crashes {
		r.crashes[i].cleared = true
	}
	return hadCounted
}

// RecordSuccess takes that a target gave a whole good answer to a content: what ended the
// others was not this.
func (t *Table) RecordSuccess(content Fingerprint, now time.Time) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	t.brokenResponses = slices.DeleteFunc(t.brokenResponses, func(b brokenResponse) bool { return b.request.Content == content })
	r := t.records[content]
	if r == nil || !r.clearCrashes() {
		return
	}
	r.updatedAt, r.pendingSends = now, crashRepeats
	r.clearVerdict()
	t.addChange(Change{Kind: Cleared, Origin: OriginLocal}, r.Case)
}

// clearVerdict ends a verdict. What the store keeps of it has to be lifted there too.
func (r *record) clearVerdict() {
	r.needsWrite = r.inStore
	r.until, r.duration = time.Time{}, 0
}

// Sweep forgets what is old.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	for content, r := range t.records {
		lapsed := !r.until.IsZero() && !now.Before(r.until)
		if lapsed && !r.expiryReported {
			r.expiryReported, r.updatedAt = true, now
			t.addChange(Change{Kind: Expired, Crashes: r.countedCrashes()}, r.Case)
		}
		if !now.Before(r.until) && now.Sub(r.updatedAt) > suspicionTTL {
			delete(t.records, content)
		}
	}
	maps.DeleteFunc(t.remoteSuspects, func(_ Fingerprint, w remoteRun) bool { return !w.valid(now) })
}
