package poison

import (
	"maps"
	"slices"
	"sync"
	"time"

	"acaciakeel/fleet"
)

// Thresholds and times of verdicts.
const (
	// CrashThreshold is the number of targets that may crash while running a content before
	// it is refused. One crash is weak evidence, as all of the sixteen or more requests on
	// a target see it. After two, a harmless request may still have been present by chance
	// on a day with many crashes. After three, each of a request sent after the previous
	// crash, no harmless request was seen to be affected.
	CrashThreshold = 3
	// initialVerdictDuration is the duration of the first verdict on a content: well over
	// the time for which clients retry, and about what an operator needs to react. It
	// doubles with each crash after an expired verdict, up to maxVerdictDuration.
	initialVerdictDuration = 10 * time.Minute
	maxVerdictDuration     = 24 * time.Hour
	// suspicionTTL is how long a suspicion is kept: a request may be repeated minutes
	// later.
	suspicionTTL = 10 * time.Minute
	// evidenceTimeout is how long a broken response waits for evidence that its target
	// crashed. A target that restarts at once shows it by its next message; a silent one
	// disappears from the target list three heartbeats after its last, which takes three to
	// four seconds.
	evidenceTimeout = 6 * time.Second
	// remoteRunTTL is how long a report that another process runs a suspect is valid,
	// unless a later report says that the run has ended: about the duration of a request.
	remoteRunTTL = time.Second
)

// Bounds on memory: a hostile client may send a new content with every request.
const (
	// maxRecords bounds the records, about 300 bytes each, and maxRecordsPerCustomer those
	// of one customer. At a bound the record with the fewest crashes is evicted, the oldest
	// of several, from the customer's records or from all.
	maxRecords            = 4096
	maxRecordsPerCustomer = 512
	// maxBrokenResponses bounds the broken responses that wait for evidence: those of a
	// second in which a whole data centre fails.
	maxBrokenResponses = 4096
	// maxCrashesPerRecord bounds the crashes of a content; the newest are kept. Cleared
	// crashes of a content that succeeds between crashes must stay known, as another
	// process may report them late.
	maxCrashesPerRecord = 32
)

// Case identifies a request for logs and verdicts.
type Case struct {
	Content  Fingerprint
	Service  string
	Customer string
	// Request is the id of the latest request with the content.
	Request string
	// Part is the ID of the part of prompts that this is about; empty for a whole content.
	Part string
}

// brokenResponse is a response that the target broke off.
type brokenResponse struct {
	request  Case
	instance fleet.Instance
	// parts are those of the prompt that may have crashed the target.
	parts []Case
	// sentAt is when the request was sent, brokenAt when the response broke off.
	sentAt, brokenAt time.Time
}

// Table holds the contents that were running on targets when these crashed. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[Fingerprint]*record
	// running are the requests of this process by content, localSuspects the targets of
	// those that are suspects, and remoteSuspects the runs of suspects that other processes
	// report.
	running        map[Fingerprint][]*ActiveRequest
	localSuspects  map[*ActiveRequest]fleet.Instance
	remoteSuspects map[Fingerprint]remoteRun
	// brokenResponses wait for evidence of a crash; crashedAt holds the instances for which
	// evidence has arrived.
	brokenResponses []brokenResponse
	crashedAt       map[fleet.Instance]time.Time
	// history is what this process has seen of parts that were served.
	history partHistory
	// sendBudget is the number of bytes that may be sent, as of sendBudgetAt.
	sendBudget   int
	sendBudgetAt time.Time
	// version counts the crashes that were added.
	version int
	// onChange is called with each change, without the lock held.
	onChange func(Change)
	changes  []Change
}

// remoteRun is a report of another process that it has sent a suspect to a target.
type remoteRun struct {
	target     fleet.Instance
	reportedAt time.Time
}

func (r remoteRun) valid(now time.Time) bool {
	return now.Sub(r.reportedAt) <= remoteRunTTL
}

// New returns an empty table that calls onChange, unless nil, with each change.
func New(onChange func(Change)) *Table {
	return &Table{
		records: map[Fingerprint]*record{}, running: map[Fingerprint][]*ActiveRequest{}, localSuspects: map[*ActiveRequest]fleet.Instance{}, remoteSuspects: map[Fingerprint]remoteRun{},
		crashedAt: map[fleet.Instance]time.Time{}, history: partHistory{servedAt: map[Fingerprint]time.Time{}}, onChange: onChange,
	}
}

// unlockAndNotify releases mu and passes the collected changes to onChange. Methods that
// change records defer it in place of mu.Unlock.
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

// RecordBrokenResponse records that a target broke off the response to a request sent at
// sentAt. It counts as a crash, of the content and of the given parts of its prompt, once there
// is evidence that the target has crashed.
func (t *Table) RecordBrokenResponse(c Case, instance fleet.Instance, sentAt, now time.Time, parts ...Case) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	t.dropStaleEvidence(now)
	t.dropRuns(instance)
	b := brokenResponse{request: c, instance: instance, parts: parts, sentAt: sentAt, brokenAt: now}
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

// countLocalCrash counts a crash observed by this process. The caller holds mu. A target
// may have restarted without a new entry in the list, for instance while the store is
// unavailable. A request sent after the target's last known crash ran in a later instance,
// which gets the time of sending as its birth to distinguish it.
func (t *Table) countLocalCrash(b brokenResponse, now time.Time) {
	count := func(c Case) {
		instance := b.instance
		if r := t.records[c.Content]; r != nil && r.hasCrash(instance) && b.sentAt.After(r.lastCrash(instance.ID)) {
			instance.Born = b.sentAt.UnixMilli()
		}
		t.countCrash(c, instance, OriginLocal, now)
	}
	count(b.request)
	for _, part := range b.parts {
		if !t.servedLately(part.Content, b.brokenAt) {
			count(part)
		}
	}
}

// AwaitsEvidence reports whether broken responses of an instance wait for evidence of a
// crash.
func (t *Table) AwaitsEvidence(instance fleet.Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.brokenResponses, func(b brokenResponse) bool { return b.instance.Matches(instance) })
}

// RecordCrash records evidence that a target instance ended unplanned.
func (t *Table) RecordCrash(instance fleet.Instance, now time.Time) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	t.dropStaleEvidence(now)
	t.dropRuns(instance)
	t.crashedAt[instance] = now
	t.brokenResponses = slices.DeleteFunc(t.brokenResponses, func(b brokenResponse) bool {
		if !b.instance.Matches(instance) {
			return false
		}
		t.countLocalCrash(b, now)
		return true
	})
}

// dropStaleEvidence removes broken responses and crashes that found no match within
// evidenceTimeout. The caller holds mu.
func (t *Table) dropStaleEvidence(now time.Time) {
	stale := func(at time.Time) bool { return now.Sub(at) > evidenceTimeout }
	t.brokenResponses = slices.DeleteFunc(t.brokenResponses, func(b brokenResponse) bool { return stale(b.brokenAt) })
	for instance, at := range t.crashedAt {
		if stale(at) {
			delete(t.crashedAt, instance)
		}
	}
}

// countCrash adds a crash to a content and starts a verdict if the threshold is reached.
// The caller holds mu.
func (t *Table) countCrash(c Case, instance fleet.Instance, origin Origin, now time.Time) {
	r, added := t.addCrash(c, instance, origin, now)
	if added && r.countedCrashes() >= CrashThreshold && (!now.Before(r.until) || r.verdictTooShort()) {
		t.convict(r, c, instance, origin, now)
	}
}

// addCrash adds a crash to a content and reports whether it was new. The caller holds mu.
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

// convict starts a verdict. The caller holds mu.
func (t *Table) convict(r *record, c Case, instance fleet.Instance, origin Origin, now time.Time) {
	duration := r.verdictDuration()
	t.startVerdict(r, c, instance, origin, duration, now.Add(duration))
}

// startVerdict starts a verdict that expires at until; duration is how long it holds in all. The
// caller holds mu.
func (t *Table) startVerdict(r *record, c Case, instance fleet.Instance, origin Origin, duration time.Duration, until time.Time) {
	r.duration, r.until = duration, until
	r.expiryReported, r.inStore = false, origin == OriginStore
	r.needsWrite = r.needsWrite || origin == OriginLocal
	t.addChange(Change{Kind: Convicted, Origin: origin, Target: instance, Crashes: r.countedCrashes(), Until: r.until}, c)
}

func (t *Table) addChange(change Change, c Case) {
	change.Case = c
	t.changes = append(t.changes, change)
}

// record returns the record of a content, creating it if needed. The caller holds mu. The
// customer and service of a record are not overwritten once known.
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

// RecordSuccess records that a target answered a content completely and successfully, which
// shows that the content did not cause the earlier crashes.
func (t *Table) RecordSuccess(content Fingerprint, now time.Time) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	t.brokenResponses = slices.DeleteFunc(t.brokenResponses, func(b brokenResponse) bool { return b.request.Content == content })
	t.clearContent(content, now)
}

// clearContent clears the crashes counted against a content or a part. The caller holds mu.
func (t *Table) clearContent(content Fingerprint, now time.Time) {
	r := t.records[content]
	if r == nil || !r.clearCrashes() {
		return
	}
	r.updatedAt, r.pendingSends = now, crashRepeats
	r.clearVerdict()
	t.addChange(Change{Kind: Cleared, Origin: OriginLocal}, r.Case)
}

// Sweep reports expired verdicts and removes outdated records.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	t.settleRuns(now)
	t.dropServed(now)
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
