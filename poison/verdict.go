package poison

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"acaciakeel/fleet"
	"acaciakeel/store"
)

// Verdict is the entry of a content in the platform's store, from which a starting process
// learns of it, also when all processes were killed at once.
type Verdict struct {
	Case
	Crashed []fleet.Instance
	Until   time.Time
	// Lifted is set once the content has succeeded since, or an operator has lifted the
	// verdict. A missing entry does not lift a verdict, as the store may have lost it.
	Lifted bool
	// Revision is the entry's revision in the store; 0 if it has none.
	Revision store.Position
}

// Delays before writing to the store.
const (
	// writeDelay is how long a verdict waits before it is written: a request with the same
	// content that runs elsewhere may still succeed and clear it.
	writeDelay = 500 * time.Millisecond
	// standInDelay is the age at which the stand-in writes a verdict that nobody has
	// written, because the process that observed the crash may have crashed itself.
	standInDelay = 2 * time.Second
)

// PendingWrites returns the verdicts that this process has to write. standIn is set if it
// also writes for the other processes.
func (t *Table) PendingWrites(standIn bool, now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Verdict
	for _, r := range t.records {
		age := now.Sub(r.updatedAt)
		own := r.needsWrite && age >= writeDelay
		missed := standIn && !r.inStore && r.convicted(now) && age >= standInDelay
		if own || missed {
			out = append(out, r.verdict())
		}
	}
	return out
}

func (r *record) verdict() Verdict {
	v := Verdict{Case: r.Case, Until: r.until, Lifted: r.countedCrashes() == 0, Revision: r.revision}
	for _, e := range r.crashes {
		if v.Lifted || !e.cleared {
			v.Crashed = append(v.Crashed, e.instance)
		}
	}
	return v
}

// MarkWritten records that the store has a verdict returned by PendingWrites.
func (t *Table) MarkWritten(v Verdict, revision store.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[v.Content]; r != nil {
		r.needsWrite, r.inStore, r.revision = r.needsWrite && v.Lifted != (r.countedCrashes() == 0), true, revision
	}
}

// MarkMissing records that the store has no verdict on a content. A verdict that still
// holds is written again, as the store may have lost it.
func (t *Table) MarkMissing(content Fingerprint) {
	t.MarkReplaced(content, 0)
}

// MarkReplaced records that the store has an entry of another writer, at a revision, in
// place of a verdict. A verdict that still holds is written over it.
func (t *Table) MarkReplaced(content Fingerprint, revision store.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[content]; r != nil {
		r.inStore, r.revision = false, revision
	}
}

// ApplyStored merges a verdict read from the store.
func (t *Table) ApplyStored(v Verdict, now time.Time) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	if v.Lifted {
		t.applyLift(v, now)
		return
	}
	report := Report{Case: v.Case, Remaining: v.Until.Sub(now)}
	for _, instance := range v.Crashed {
		report.Crashes = append(report.Crashes, Crash{Instance: instance})
	}
	t.applyReport(report, OriginStore, now)
	if r := t.records[v.Content]; r != nil {
		r.inStore, r.revision = true, v.Revision
		r.needsWrite = r.needsWrite && r.countedCrashes() == 0
	}
}

// applyLift ends a verdict that is lifted in the store. The caller holds mu.
func (t *Table) applyLift(v Verdict, now time.Time) {
	for _, instance := range v.Crashed {
		t.clearCrash(v.Case, instance, now)
	}
	r := t.record(v.Case, now)
	if r.clearCrashes() || !r.until.IsZero() {
		t.addChange(Change{Kind: Lifted, Origin: OriginStore}, r.Case)
	}
	r.clearVerdict()
	r.needsWrite, r.inStore, r.revision = false, true, v.Revision
}

type storedVerdict struct {
	Service  string         `json:"service"`
	Customer string         `json:"customer"`
	Request  string         `json:"request"`
	Part     string         `json:"part,omitempty"`
	Ended    []storedTarget `json:"ended"`
	UntilMS  int64          `json:"until_unix_ms"`
	Lifted   bool           `json:"lifted"`
}

type storedTarget struct {
	Target string `json:"target"`
	Born   int64  `json:"born"`
}

// Encode returns the store value of a verdict.
func (v Verdict) Encode() ([]byte, error) {
	w := storedVerdict{Service: v.Service, Customer: v.Customer, Request: v.Request, Part: v.Part, UntilMS: v.Until.UnixMilli(), Lifted: v.Lifted}
	for _, instance := range v.Crashed {
		w.Ended = append(w.Ended, storedTarget{Target: instance.ID, Born: instance.Born})
	}
	return json.Marshal(w)
}

var errTooFewCrashes = errors.New("too few crashed targets")

// DecodeVerdict decodes the store value of a verdict. It rejects a verdict with too few
// crashes, and limits the expiry to maxVerdictDuration from now.
func DecodeVerdict(content Fingerprint, value []byte, revision store.Position, now time.Time) (Verdict, error) {
	var w storedVerdict
	if err := json.Unmarshal(value, &w); err != nil {
		return Verdict{}, fmt.Errorf("decode verdict: %w", err)
	}
	v := Verdict{
		Case:  Case{Content: content, Service: w.Service, Customer: w.Customer, Request: w.Request, Part: w.Part},
		Until: time.UnixMilli(w.UntilMS), Lifted: w.Lifted, Revision: revision,
	}
	for _, target := range w.Ended {
		v.Crashed = append(v.Crashed, fleet.Instance{ID: target.Target, Born: target.Born})
	}
	if !v.Lifted && len(v.Crashed) < CrashThreshold {
		return Verdict{}, fmt.Errorf("decode verdict: %w; %d are required", errTooFewCrashes, CrashThreshold)
	}
	if latest := now.Add(maxVerdictDuration); v.Until.After(latest) {
		v.Until = latest
	}
	return v, nil
}
