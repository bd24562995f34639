// Package verdicts synchronizes verdicts on request contents that crash targets with the
// platform's store. Starting entries load them from there, and operators can view and lift
// them.
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

// Syncer synchronizes the verdicts of one process with the store, and logs and counts their
// changes. Without the stored verdicts, a known content could crash three more targets for
// each starting entry, also when all entries start at once.
type Syncer struct {
	// Table holds the process's verdicts and suspicions.
	Table *poison.Table
	// Leadership tells whether this process writes verdicts for processes that have ended.
	// PublishNow sends pending reports to the other nodes at once. Both must be set before
	// the syncer is used.
	Leadership rollout.Leadership
	PublishNow func()
	store      store.Store
	log        logrus.FieldLogger
	changes    *prometheus.CounterVec
	// retryAt is the earliest time for the next call after a failed one. Only the goroutine
	// of Run uses it.
	retryAt time.Time

	mu sync.Mutex
	// stored are the verdicts in the store.
	stored map[poison.Fingerprint]storedVerdict
}

// storedVerdict is the revision of a stored verdict and the time of its end.
type storedVerdict struct {
	revision store.Position
	end      time.Time
}

// Intervals and limits of synchronization.
const (
	// syncInterval is how often pending writes are looked for, and callTimeout bounds one
	// call of the store.
	syncInterval = 250 * time.Millisecond
	callTimeout  = time.Second
	// retryDelay is the pause after a failed call of the store.
	retryDelay = time.Second
	// maxStored limits the verdicts in the store, which take about 300 bytes each. Starting
	// entries learn of any others only from crashes they observe themselves.
	maxStored = 512
	// retention is how long a verdict stays in the store after its end, for entries that
	// could not reach the store.
	retention = time.Minute
)

// NewSyncer returns a syncer with an empty table.
func NewSyncer(s store.Store, r *prometheus.Registry, log logrus.FieldLogger) *Syncer {
	syncer := &Syncer{store: s, log: log, stored: map[poison.Fingerprint]storedVerdict{}}
	syncer.changes = telemetry.NewCounter(r, "keel_node_contents_total", "Contents of requests under which targets ended, by what became of them here.", "what")
	syncer.Table = poison.New(syncer.onChange)
	return syncer
}

// onChange counts and logs a change, and publishes it at once if it is a repeated crash that
// this process observed. The table does not report suspicions that come from peers; the
// process that observed the crash logs them.
func (s *Syncer) onChange(c poison.Change) {
	s.changes.WithLabelValues(string(c.Kind)).Inc()
	if c.Origin == poison.OriginLocal && c.Crashes > 1 {
		s.PublishNow()
	}
	fields := logrus.Fields{
		"event": "content_" + string(c.Kind), "content": c.Content.String(), "service": c.Service, "customer": c.Customer,
		"request": c.Request, "origin": c.Origin, "ends": c.Crashes,
	}
	if c.Part != "" {
		fields["part"] = c.Part
	}
	if c.Target != (fleet.Instance{}) {
		fields["target"], fields["born"] = c.Target.ID, c.Target.Born
	}
	if !c.Until.IsZero() {
		fields["until"] = c.Until.UTC().Format(time.RFC3339)
	}
	s.log.WithFields(fields).Info(changeMessages[c.Kind])
}

var changeMessages = map[poison.ChangeKind]string{
	poison.Suspected: "a target crashed while serving this content; its requests are isolated from now on",
	poison.Convicted: "requests with this content are refused",
	poison.Cleared:   "content was served; its earlier crashes no longer count",
	poison.Lifted:    "verdict was lifted in the store",
	poison.Expired:   "verdict expired; requests with this content are isolated, and one more crash renews the verdict",
	poison.Dropped:   "too many contents are tracked; this one was dropped",
}

// Run writes pending verdicts, and as leader removes expired ones, until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, syncInterval)
		now := time.Now()
		s.Table.Sweep(now)
		if now.Before(s.retryAt) {
			continue
		}
		_, leader := s.Leadership.Held()
		for _, verdict := range s.Table.PendingWrites(leader, now) {
			s.write(ctx, verdict)
		}
		if leader {
			s.removeExpired(ctx, now)
		}
	}
}

func (s *Syncer) write(ctx context.Context, verdict poison.Verdict) {
	s.mu.Lock()
	full := verdict.Revision == 0 && len(s.stored) >= maxStored
	s.mu.Unlock()
	if full {
		return
	}
	value, err := verdict.Encode()
	if err != nil {
		s.log.WithError(err).WithField("event", "verdict_unwritten").Error("cannot encode the verdict; starting entries will not load it")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := s.store.Put(ctx, Key(verdict.Content), value, verdict.Revision, "")
	switch {
	case err == nil:
		s.Table.MarkWritten(verdict, revision)
	case errors.Is(err, store.ErrConflict):
		s.reload(ctx, verdict.Content)
	default:
		// The write is retried; until then the verdict is in force in this process.
		s.retryAt = time.Now().Add(retryDelay)
		s.log.WithError(err).WithFields(logrus.Fields{"event": "verdict_unwritten", "content": verdict.Content.String()}).Warn("failed to store the verdict; retrying")
	}
}

// reload applies the verdict that another process has written.
func (s *Syncer) reload(ctx context.Context, content poison.Fingerprint) {
	entry, err := s.store.Get(ctx, Key(content))
	if errors.Is(err, store.ErrNotFound) {
		s.MarkMissing(content)
		return
	}
	if err != nil {
		s.retryAt = time.Now().Add(retryDelay)
		s.log.WithError(err).WithFields(logrus.Fields{"event": "verdict_unread", "content": content.String()}).Warn("failed to read the verdict that another process wrote")
		return
	}
	if err := s.ApplyStored(content, entry.Value, entry.Revision); err != nil {
		s.MarkReplaced(content, entry.Revision)
		s.log.WithError(err).WithFields(logrus.Fields{"event": "verdict_unread", "content": content.String()}).Warn("the entry is not a verdict; replacing it")
	}
}

// ApplyStored applies a verdict read from the store.
func (s *Syncer) ApplyStored(content poison.Fingerprint, value []byte, revision store.Position) error {
	now := time.Now()
	verdict, err := poison.DecodeVerdict(content, value, revision, now)
	if err != nil {
		return err
	}
	until := verdict.Until
	if verdict.Lifted {
		until = now
	}
	s.mu.Lock()
	s.stored[content] = storedVerdict{revision: revision, end: until}
	s.mu.Unlock()
	s.Table.ApplyStored(verdict, now)
	return nil
}

// MarkMissing records that the store no longer has a verdict. This does not lift it: a
// verdict expires by its own time, and the store may have lost it.
func (s *Syncer) MarkMissing(content poison.Fingerprint) {
	s.mu.Lock()
	delete(s.stored, content)
	s.mu.Unlock()
	s.Table.MarkMissing(content)
}

// MarkReplaced records that another writer's entry stands in the store in place of a verdict.
// Entries that start would not learn of the verdict, so it is written again if it still holds.
func (s *Syncer) MarkReplaced(content poison.Fingerprint, revision store.Position) {
	s.mu.Lock()
	delete(s.stored, content)
	s.mu.Unlock()
	s.Table.MarkReplaced(content, revision)
}

// Reconcile marks the verdicts missing whose keys are not in a listing of the system's own
// keys.
func (s *Syncer) Reconcile(keys map[string]bool) {
	s.mu.Lock()
	var missing []poison.Fingerprint
	for content := range s.stored {
		if !keys[Key(content)] {
			missing = append(missing, content)
		}
	}
	s.mu.Unlock()
	for _, content := range missing {
		s.MarkMissing(content)
	}
}

// removeExpired deletes stored verdicts whose retention is over.
func (s *Syncer) removeExpired(ctx context.Context, now time.Time) {
	s.mu.Lock()
	expired := map[poison.Fingerprint]store.Position{}
	for content, v := range s.stored {
		if now.Sub(v.end) > retention {
			expired[content] = v.revision
		}
	}
	s.mu.Unlock()
	for content, revision := range expired {
		s.remove(ctx, content, revision)
	}
}

func (s *Syncer) remove(ctx context.Context, content poison.Fingerprint, revision store.Position) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.store.Delete(ctx, Key(content), revision)
	if err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrNotFound) {
		s.retryAt = time.Now().Add(retryDelay)
		s.log.WithError(err).WithFields(logrus.Fields{"event": "verdict_unwritten", "content": content.String()}).Warn("failed to remove an expired verdict from the store; retrying")
		return
	}
	s.MarkMissing(content)
}
