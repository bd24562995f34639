// Package ledger is an agent's record of the calls that may not be repeated:
// for each customer, service and idempotency key, at most one send. It is
// pure and not safe for concurrent use.
package ledger

import (
	"time"
)

// Key identifies one call that may not be repeated.
type Key struct {
	Customer string
	Service  string
	// IdempotencyKey is the caller's, or one that the entry made.
	IdempotencyKey string
}

// Attempt identifies one entry's try at a call.
type Attempt struct {
	RequestID string
	Number    uint32
}

// Answer is a service's whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// State is what is known of a call.
type State string

// The states of a call.
const (
	// Running: sent, or about to be.
	Running State = "running"
	// Done: the service answered.
	Done State = "done"
	// NotRun: an earlier attempt ended before anything was sent.
	NotRun State = "not_run"
	// Unsent: this process did not send the call, but can't tell whether an
	// earlier or another one did. A later attempt may find out.
	Unsent State = "unsent"
	// Unknown: sent, and the answer was lost.
	Unknown State = "unknown"
)

// Decision is what an attempt has to do.
type Decision string

// The verdicts on an attempt.
const (
	// Run: this attempt is the one that sends.
	Run Decision = "run"
	// Join: an earlier attempt runs; wait for its end.
	Join Decision = "join"
	// Replay: the answer is known; give it again.
	Replay Decision = "replay"
	// RefuseUnknown: the outcome can't be known; never send.
	RefuseUnknown Decision = "unknown"
	// RefuseKeyReused: the key came with another body before.
	RefuseKeyReused Decision = "key_reused"
	// RefuseAbandoned: the entry was told "not run" of this very attempt.
	RefuseAbandoned Decision = "abandoned"
	// RefuseFull: the ledger has no room; nothing ran.
	RefuseFull Decision = "full"
)

// Limits bound the ledger's memory.
type Limits struct {
	// MaxRecords is the most calls kept; Bytes the most answer bytes.
	MaxRecords     int
	MaxAnswerBytes int
	// Retention is how long a finished call is kept. Claims outlive it.
	Retention time.Duration
	// TombstoneRetention is how long an abandoned attempt is remembered: longer than
	// any copy of it can stay in a connection.
	TombstoneRetention time.Duration
}

// Record is one call.
type Record struct {
	State    State
	BodyHash uint64
	Answer   Answer
	// Claimed: the platform holds a claim that outlives this process, so the
	// record may be forgotten without a second send becoming possible.
	Claimed bool
	// GeneratedKey: no caller has the key, so the record serves only the
	// entry that made it and may be forgotten like a claimed one.
	GeneratedKey bool
	// Refusal is what a withdrawn call was refused with, for those that joined it.
	Refusal any
	// Done closes when the call leaves Running.
	Done  chan struct{}
	ended time.Time
}

// Ledger is the state.
type Ledger struct {
	limits     Limits
	records    map[Key]*Record
	bytes      int
	tombstones map[Attempt]time.Time
}

// New returns an empty ledger.
func New(l Limits) *Ledger {
	return &Ledger{limits: l, records: map[Key]*Record{}, tombstones: map[Attempt]time.Time{}}
}

// Begin says what an attempt at a call has to do. After Run the caller must
// end the call with Finish, Lost, Withdraw or Doubt.
func (l *Ledger) Begin(key Key, attempt Attempt, bodyHash uint64, now time.Time) (Decision, *Record) {
	if _, gone := l.tombstones[attempt]; gone {
		return RefuseAbandoned, nil
	}
	r := l.records[key]
	if r == nil {
		return l.begin(key, bodyHash, now)
	}
	if r.BodyHash != bodyHash {
		return RefuseKeyReused, nil
	}
	switch r.State {
	case Running:
		return Join, r
	case Done:
		return Replay, r
	case Unknown:
		return RefuseUnknown, r
	}
	r.State = Running
	r.Done = make(chan struct{})
	return Run, r
}

func (l *Ledger) begin(key Key, bodyHash uint64, now time.Time) (Decision, *Record) {
	if len(l.records) >= l.limits.MaxRecords || l.bytes >= l.limits.MaxAnswerBytes {
		l.Expire(now)
		l.evict()
	}
	if len(l.records) >= l.limits.MaxRecords || l.bytes >= l.limits.MaxAnswerBytes {
		return RefuseFull, nil
	}
	r := &Record{State: Running, BodyHash: bodyHash, Done: make(chan struct{})}
	l.records[key] = r
	return Run, r
}

// mayForget reports whether a call can't run again once its record is gone.
func (r *Record) mayForget() bool {
	return r.Claimed || r.GeneratedKey || r.State == NotRun || r.State == Unsent
}

// Unclaimed returns the ended calls that ran without a claim. They are kept
// until they have one: forgotten, their keys would pass for new.
func (l *Ledger) Unclaimed() []Key {
	var keys []Key
	for key, r := range l.records {
		if r.State != Running && !r.mayForget() {
			keys = append(keys, key)
		}
	}
	return keys
}

// MarkClaimed records that the platform now holds a claim of the call.
func (l *Ledger) MarkClaimed(key Key) {
	if r := l.records[key]; r != nil {
		r.Claimed = true
	}
}

// evict makes room by forgetting ended calls before their time: another
// attempt at a claimed key is answered "unknown", never run.
func (l *Ledger) evict() {
	for key, r := range l.records {
		if r.mayForget() && r.State != Running {
			l.forget(key, r)
		}
		if len(l.records) < l.limits.MaxRecords*3/4 && l.bytes < l.limits.MaxAnswerBytes*3/4 {
			return
		}
	}
}

func (l *Ledger) forget(key Key, r *Record) {
	l.bytes -= len(r.Answer.Body)
	delete(l.records, key)
}

func (l *Ledger) end(key Key, state State, now time.Time) {
	r := l.records[key]
	if r == nil || r.State != Running {
		return
	}
	r.State = state
	r.ended = now
	close(r.Done)
}

// Finish records the service's answer.
func (l *Ledger) Finish(key Key, a Answer, now time.Time) {
	r := l.records[key]
	if r == nil || r.State != Running {
		return
	}
	r.Answer = a
	l.bytes += len(a.Body)
	l.end(key, Done, now)
}

// MarkUnknown records that the call was sent and its answer lost.
func (l *Ledger) MarkUnknown(key Key, now time.Time) {
	l.end(key, Unknown, now)
}

// MarkNotRun records that the call did not run, and that this attempt will not
// run it.
func (l *Ledger) MarkNotRun(key Key, now time.Time) {
	l.end(key, NotRun, now)
}

// MarkUnsent records that this process did not send the call, but another may have.
func (l *Ledger) MarkUnsent(key Key, now time.Time) {
	l.end(key, Unsent, now)
}

// Abandon settles an attempt whose answer an entry has lost. After NotRun, a
// late copy of the attempt is refused.
func (l *Ledger) Abandon(key Key, attempt Attempt, now time.Time) State {
	r := l.records[key]
	if r != nil && (r.State == Running || r.State == Done || r.State == Unknown) {
		return r.State
	}
	l.tombstones[attempt] = now
	if r != nil {
		return r.State
	}
	return NotRun
}

// Expire forgets what is older than the retention times.
func (l *Ledger) Expire(now time.Time) {
	for key, r := range l.records {
		if r.State != Running && r.mayForget() && now.Sub(r.ended) > l.limits.Retention {
			l.forget(key, r)
		}
	}
	for attempt, at := range l.tombstones {
		if now.Sub(at) > l.limits.TombstoneRetention {
			delete(l.tombstones, attempt)
		}
	}
}

// Len returns how many calls are kept, and Bytes the answer bytes.
func (l *Ledger) Len() int { return len(l.records) }

// AnswerBytes returns the bytes of the answers kept.
func (l *Ledger) AnswerBytes() int { return l.bytes }
