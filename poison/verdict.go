package poison

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"acaciakeel/fleet"
)

// Verdict is what the platform's store keeps of a content: entries that start, or that
// all were killed at once, know of it from there.
type Verdict struct {
	Case
	Crashed []fleet.Instance
	Until   time.Time
	// Lifted is set once the content has been served since, or an operator said so. A
	// verdict that is missing lifts nothing: the store may have lost it.
	Lifted bool
	// Revision is the store's; 0 where it has none.
	Revision int64
}

// Figures of what is kept.
const (
	// writeDelay is how long a verdict waits before it is written: a request with the same
	// content that runs elsewhere may still be served and clear it.
	writeDelay = 500 * time.Millisecond
	// standInDelay is after how long a verdict that nobody has written is written by
	// whoever stands in for all: the process that saw it may have ended.
	standInDelay = 2 * time.Second
)

// PendingWrites returns the verdicts that this process is to write; forAll is set where it
// stands in for the others.
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

// MarkWritten notes that the store has what Unkept returned.
func (t *Table) MarkWritten(v Verdict, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[v.Content]; r != nil {
		r.needsWrite, r.inStore, r.revision = r.needsWrite && v.Lifted != (r.countedCrashes() == 0), true, revision
	}
}

// MarkMissing notes that the store has no verdict on a content. One that holds is written
// anew: the store may have lost it.
func (t *Table) MarkMissing(content Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[content]; r != nil {
		r.inStore, r.revision = false, 0
	}
}

// ApplyStored takes a verdict that the store has.
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

// applyLift ends a verdict by the store's word; the caller holds mu.
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
	Ended    []storedTarget `json:"ended"`
	UntilMS  int64          `json:"until_unix_ms"`
	Lifted   bool           `json:"lifted"`
}

type storedTarget struct {
	Target string `json:"target"`
	Born   int64  `json:"born"`
}

// Encode returns the value under which a verdict is kept.
func (v Verdict) Encode() ([]byte, error) {
	w := storedVerdict{Service: v.Service, Customer: v.Customer, Request: v.Request, UntilMS: v.Until.UnixMilli(), Lifted: v.Lifted}
	for _, instance := range v.Crashed {
		w.Ended = append(w.Ended, storedTarget{Target: instance.ID, Born: instance.Born})
	}
	return json.Marshal(w)
}

var errTooFewCrashes = errors.New("it names no target that ended")

// DecodeVerdict reads the value that is kept of a content. A verdict that could not be meant,
// such as one without ends or for years, is none.
func DecodeVerdict(content Fingerprint, value []byte, revision int64, now time.Time) (Verdict, error) {
	var w storedVerdict
	if err := json.Unmarshal(value, &w); err != nil {
		return Verdict{}, fmt.Errorf("read a verdict: %w", err)
	}
	v := Verdict{
		Case:  Case{Content: content, Service: w.Service, Customer: w.Customer, Request: w.Request},
		Until: time.UnixMilli(w.UntilMS), Lifted: w.Lifted, Revision: revision,
	}
	for _, target := range w.Ended {
		v.Crashed = append(v.Crashed, fleet.Instance{ID: target.Target, Born: target.Born})
	}
	if !v.Lifted && len(v.Crashed) < CrashThreshold {
		return Verdict{}, fmt.Errorf("read a verdict: %w; %d are needed", errTooFewCrashes, CrashThreshold)
	}
	if latest := now.Add(maxVerdictDuration); v.Until.After(latest) {
		v.Until = latest
	}
	return v, nil
}
