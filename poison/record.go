package poison

import (
	"cmp"
	"slices"
	"time"

	"acaciakeel/fleet"
	"acaciakeel/store"
)

// record is the state of one content.
type record struct {
	Case
	// crashes are the target instances that crashed while running the content.
	crashes   []crashEntry
	updatedAt time.Time
	// until is when the verdict expires and duration how long it holds; zero before the
	// first verdict.
	until    time.Time
	duration time.Duration
	// expiryReported is set once the expiry has been passed to onChange.
	expiryReported bool
	// pendingSends is the number of pulses in which the record is still to be reported.
	pendingSends int
	// needsWrite is set if this process has to write the state of the content to the
	// platform's store. inStore is set if the store has a verdict, at the given revision.
	needsWrite bool
	inStore    bool
	revision   store.Position
}

// crashEntry is a target instance that crashed while running a content. It is cleared, and
// then no longer counts whoever reports it, when the content has succeeded since or an
// operator has lifted the verdict.
type crashEntry struct {
	instance fleet.Instance
	cleared  bool
	// learnedAt is when this process learned of the crash.
	learnedAt time.Time
}

func (r *record) hasCrash(instance fleet.Instance) bool {
	return slices.ContainsFunc(r.crashes, func(e crashEntry) bool { return e.instance.Matches(instance) })
}

// lastCrash returns when the last crash of a target became known.
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

// countedCrashes returns the number of crashes that are not cleared.
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

// clearCrashes clears all crashes and reports whether any of them counted.
func (r *record) clearCrashes() bool {
	hadCounted := r.countedCrashes() > 0
	for i := range r.crashes {
		r.crashes[i].cleared = true
	}
	return hadCounted
}

// clearVerdict ends the verdict. If the store has it, it has to be lifted there too.
func (r *record) clearVerdict() {
	r.needsWrite = r.inStore
	r.until, r.duration = time.Time{}, 0
}

// evictIfFull evicts one record if the customer or the table has reached its bound. The
// caller holds mu.
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
