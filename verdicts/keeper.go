// Package verdicts keeps in the platform's store what was decided on contents that end
// targets, so that entries which start know of it, and operators see and lift it.
package verdicts

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/fleet"
	"acaciakeel/poison"
	"acaciakeel/rollout"
	"acaciakeel/store"
	"acaciakeel/telemetry"
)

// Syncer keeps the verdicts of one process, and says in log and metrics what became of
// them. Entries that start, also all at once, begin with what the store has; without it
// each would let such a request end three more targets.
type Syncer struct {
	// Table is what the process holds against contents.
	Table *poison.Table
	// Leadership says whether the process stands in for those that ended, and Soon has the
	// other entries told at once. Both are set before the keeper is used.
	Leadership rollout.Leadership
	PublishNow func()
	store      store.Store
	log        logrus.FieldLogger
	counted    *prometheus.CounterVec
	// pauseUntil is until when the store is left alone after a call in vain; run alone
	// uses it.
	pauseUntil time.Time

	mu sync.Mutex
	// stored are the verdicts that the store has.
	stored map[poison.Fingerprint]storedVerdict
}

// storedVerdict is one that the store has, as of a revision, and from when on it may go.
type storedVerdict struct {
	revision int64
	until    time.Time
}

// Figures of what the store has.
const (
	// lookEvery is how often what is to be written is looked for, and callMost
	// bounds one call.
	lookEvery = 250 * time.Millisecond
	callMost  = time.Second
	// vainPause is how long the store is left alone after a call in vain.
	vainPause = time.Second
	// storedMost is how many the store has at most, some 300 bytes each. Where there
	// are more, entries that start learn of the others by their own ends.
	storedMost = 512
	// restFor is how long a verdict stays after its end, for entries that were
	// without the store.
	restFor = time.Minute
)

// NewSyncer returns a keeper whose table is empty.
func NewSyncer(s store.Store, r *prometheus.Registry, log logrus.FieldLogger) *Syncer {
	k := &Syncer{store: s, log: log, stored: map[poison.Fingerprint]storedVerdict{}}
	k.counted = telemetry.NewCounter(r, "keel_node_contents_total", "Contents of requests under which targets ended, by what became of them here.", "what")
	k.Table = poison.New(k.changed)
	return k
}

// changed logs and counts a change. A suspicion that others told is not logged: whoever
// saw the end does.
func (k *Syncer) changed(c poison.Change) {
	k.counted.WithLabelValues(string(c.Kind)).Inc()
	if c.Origin == poison.OriginLocal && c.Crashes > 1 {
		k.PublishNow()
	}
	fields := logrus.Fields{
		"event": "content_" + string(c.Kind), "content": c.Content.String(), "service": c.Service, "customer": c.Customer,
		"request": c.Request, "origin": c.Origin, "ends": c.Crashes,
	}
	if c.Target != (fleet.Instance{}) {
		fields["target"], fields["born"] = c.Target.ID, c.Target.Born
	}
	if !c.Until.IsZero() {
		fields["until"] = c.Until.UTC().Format(time.RFC3339)
	}
	k.log.WithFields(fields).Info(meanings[c.Kind])
}

var meanings = map[poison.ChangeKind]string{
	poison.Suspected: "a target ended while it ran this; it goes alone from now on",
	poison.Convicted: "requests with this content are refused",
	poison.Cleared:   "it has been served; the ends are not held against it",
	poison.Lifted:    "the store says that the verdict is lifted",
	poison.Expired:   "the verdict has lapsed; it goes alone, and one more end renews it",
	poison.Dropped:   "too many contents are kept; this one is forgotten",
}

// Run writes verdicts until ctx ends.
func (k *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, lookEvery)
		now := time.Now()
		k.Table.Sweep(now)
		if now.Before(k.pauseUntil) {
			continue
		}
		_, standsIn := k.Leadership.Held()
		for _, verdict := range k.Table.PendingWrites(standsIn, now) {
			k.write(ctx, verdict)
		}
		if standsIn {
			k.clean(ctx, now)
		}
	}
}

func (k *Syncer) write(ctx context.Context, verdict poison.Verdict) {
	k.mu.Lock()
	full := verdict.Revision == 0 && len(k.stored) >= storedMost
	k.mu.Unlock()
	if full {
		return
	}
	value, err := verdict.Encode()
	if err != nil {
		k.log.WithError(err).WithField("event", "verdict_unwritten").Error("entries that start don't know of the verdict")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callMost)
	defer cancel()
	revision, err := k.store.Put(ctx, Key(verdict.Content), value, verdict.Revision, "")
	switch {
	case err == nil:
		k.Table.MarkWritten(verdict, revision)
	case errors.Is(err, store.ErrConflict):
		k.reread(ctx, verdict.Content)
	default:
		// It is tried again; what this process knows holds meanwhile.
		k.pauseUntil = time.Now().Add(vainPause)
		k.log.WithError(err).WithFields(logrus.Fields{"event": "verdict_unwritten", "content": verdict.Content.String()}).Warn("the store did not take the verdict yet")
	}
}

// reread takes what another process has written of a content.
func (k *Syncer) reread(ctx context.Context, content poison.Fingerprint) {
	entry, err := k.store.Get(ctx, Key(content))
	if errors.Is(err, store.ErrNotFound) {
		k.MarkMissing(content)
		return
	}
	if err != nil {
		k.pauseUntil = time.Now().Add(vainPause)
		k.log.WithError(err).WithFields(logrus.Fields{"event": "verdict_unread", "content": content.String()}).Warn("another process wrote the verdict, and it can't be read yet")
		return
	}
	if err := k.ApplyStored(content, entry.Value, entry.Revision); err != nil {
		k.log.WithError(err).WithFields(logrus.Fields{"event": "verdict_unread", "content": content.String()}).Warn("another process wrote the verdict, and it can't be read")
	}
}

// ApplyStored takes a verdict that the store has.
func (k *Syncer) ApplyStored(content poison.Fingerprint, value []byte, revision int64) error {
	now := time.Now()
	verdict, err := poison.DecodeVerdict(content, value, revision, now)
	if err != nil {
		return err
	}
	until := verdict.Until
	if verdict.Lifted {
		until = now
	}
	k.mu.Lock()
	k.stored[content] = storedVerdict{revision: revision, until: until}
	k.mu.Unlock()
	k.Table.ApplyStored(verdict, now)
	return nil
}

// MarkMissing takes that the store has a verdict no more. That lifts nothing: it lapses by its
// own time, and the store may have lost it.
func (k *Syncer) MarkMissing(content poison.Fingerprint) {
	k.mu.Lock()
	delete(k.stored, content)
	k.mu.Unlock()
	k.Table.MarkMissing(content)
}

// Reconcile takes the keys of the system's own that the store has.
func (k *Syncer) Reconcile(keys map[string]bool) {
	k.mu.Lock()
	var gone []poison.Fingerprint
	for content := range k.stored {
		if !keys[Key(content)] {
			gone = append(gone, content)
		}
	}
	k.mu.Unlock()
	for _, content := range gone {
		k.MarkMissing(content)
	}
}

// clean removes verdicts that ended a while ago.
func (k *Syncer) clean(ctx context.Context, now time.Time) {
	k.mu.Lock()
	old := map[poison.Fingerprint]int64{}
	for content, s := range k.stored {
		if now.Sub(s.until) > restFor {
			old[content] = s.revision
		}
	}
	k.mu.Unlock()
	for content, revision := range old {
		k.remove(ctx, content, revision)
	}
}

func (k *Syncer) remove(ctx context.Context, content poison.Fingerprint, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, callMost)
	defer cancel()
	_, err := k.store.Delete(ctx, Key(content), revision)
	if err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrNotFound) {
		k.pauseUntil = time.Now().Add(vainPause)
		k.log.WithError(err).WithFields(logrus.Fields{"event": "verdict_unwritten", "content": content.String()}).Warn("the store did not remove an old verdict yet")
		return
	}
	k.MarkMissing(content)
}
