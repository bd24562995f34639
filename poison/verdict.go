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
	// settle is how long a verdict waits before it is written: a request with the same
	// content that runs elsewhere may still be served and clear it.
	settle = 500 * time.Millisecond
	// othersAfter is after how long a verdict that nobody has written is written by
	// whoever stands in for all: the process that saw it may have ended.
	othersAfter = 2 * time.Second
)

// PendingWrites returns the verdicts that this process is to write; forAll is set where it
// stands in for the others.
func (t *Table) PendingWrites(forAll bool, now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Verdict
	for _, r := range t.records {
		age := now.Sub(r.at)
		own := r.unkept && age >= settle
		others := forAll && !r.kept && r.convicted(now) && age >= othersAfter
		if own || others {
			out = append(out, r.verdict())
		}
	}
	return out
}

func (r *record) verdict() Verdict {
	v := Verdict{Case: r.Case, Until: r.until, Lifted: r.counted() == 0, Revision: r.revision}
	for _, e := range r.ends {
		if v.Lifted || !e.discharged {
			v.Crashed = append(v.Crashed, e.life)
		}
	}
	return v
}

// MarkWritten notes that the store has what Unkept returned.
func (t *Table) MarkWritten(v Verdict, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[v.Content]; r != nil {
		r.unkept, r.kept, r.revision = r.unkept && v.Lifted != (r.counted() == 0), true, revision
	}
}

// MarkMissing notes that the store has no verdict on a content. One that holds is written
// anew: the store may have lost it.
func (t *Table) MarkMissing(content Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[content]; r != nil {
		r.kept, r.revision = false, 0
	}
}

// ApplyStored takes a verdict that the store has.
func (t *Table) ApplyStored(v Verdict, now time.Time) {
	t.mu.Lock()
	defer t.unlock()
	if v.Lifted {
		t.lift(v, now)
		return
	}
	report := Report{Case: v.Case, Remaining: v.Until.Sub(now)}
	for _, life := range v.Crashed {
		report.Crashes = append(report.Crashes, Crash{Instance: life})
	}
	t.heard(report, OriginStore, now)
	if r := t.records[v.Content]; r != nil {
		r.kept, r.revision = true, v.Revision
		r.unkept = r.unkept && r.counted() == 0
	}
}

// lift ends a verdict by the store's word; the caller holds mu.
func (t *Table) lift(v Verdict, now time.Time) {
	for _, life := range v.Crashed {
		t.discharge(v.Case, life, now)
	}
	r := t.record(v.Case, now)
	if r.discharge() || !r.until.IsZero() {
		t.change(Change{Kind: Lifted, Origin: OriginStore}, r.Case)
	}
	r.endVerdict()
	r.unkept, r.kept, r.revision = false, true, v.Revision
}

type wireVerdict struct {
	Service  string     `json:"service"`
	Customer string     `json:"customer"`
	Request  string     `json:"request"`
	Ended    []wireLife `json:"ended"`
	UntilMS  int64      `json:"until_unix_ms"`
	Lifted   bool       `json:"lifted"`
}

type wireLife struct {
	Target string `json:"target"`
	Born   int64  `json:"born"`
}

// Encode returns the value under which a verdict is kept.
func (v Verdict) Encode() ([]byte, error) {
	w := wireVerdict{Service: v.Service, Customer: v.Customer, Request: v.Request, UntilMS: v.Until.UnixMilli(), Lifted: v.Lifted}
	for _, life := range v.Crashed {
		w.Ended = append(w.Ended, wireLife{Target: life.ID, Born: life.Born})
	}
	return json.Marshal(w)
}

var errNoEnds = errors.New("it names no target that ended")

// DecodeVerdict reads the value that is kept of a content. A verdict that could not be meant,
// such as one without ends or for years, is none.
func DecodeVerdict(content Fingerprint, value []byte, revision int64, now time.Time) (Verdict, error) {
	var w wireVerdict
	if err := json.Unmarshal(value, &w); err != nil {
		return Verdict{}, fmt.Errorf("read a verdict: %w", err)
	}
	v := Verdict{
		Case:  Case{Content: content, Service: w.Service, Customer: w.Customer, Request: w.Request},
		Until: time.UnixMilli(w.UntilMS), Lifted: w.Lifted, Revision: revision,
	}
	for _, life := range w.Ended {
		v.Crashed = append(v.Crashed, fleet.Instance{ID: life.Target, Born: life.Born})
	}
	if !v.Lifted && len(v.Crashed) < CrashThreshold {
		return Verdict{}, fmt.Errorf("read a verdict: %w; %d are needed", errNoEnds, CrashThreshold)
	}
	if latest := now.Add(mostTerm); v.Until.After(latest) {
		v.Until = latest
	}
	return v, nil
}
