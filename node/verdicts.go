package node

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/fleet"
	"acaciakeel/platform"
	"acaciakeel/poison"
	"acaciakeel/rollout"
	"acaciakeel/store"
	"acaciakeel/telemetry"
)

// verdicts keeps in the platform's store what was decided on contents that end targets,
// and says in log and metrics what became of them. Entries that start, also all at once,
// begin with what the store has; without it each would let such a request end three
// more targets.
type verdicts struct {
	table *poison.Table
	store store.Store
	seat  rollout.Office
	log   logrus.FieldLogger
	// soon has the other entries told at once.
	soon    func()
	counted *prometheus.CounterVec
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
	// verdictsEvery is how often what is to be written is looked for, and verdictsTry
	// bounds one call.
	verdictsEvery = 250 * time.Millisecond
	verdictsTry   = time.Second
	// verdictsPause is how long the store is left alone after a call in vain.
	verdictsPause = time.Second
	// verdictsMost is how many the store has at most, some 300 bytes each. Where there
	// are more, entries that start learn of the others by their own ends.
	verdictsMost = 512
	// verdictRest is how long a verdict stays after its end, for entries that were
	// without the store.
	verdictRest = time.Minute
)

func newVerdicts(s store.Store, r *prometheus.Registry, log logrus.FieldLogger) *verdicts {
	v := &verdicts{store: s, log: log, stored: map[poison.Fingerprint]storedVerdict{}}
	v.counted = telemetry.NewCounter(r, "keel_node_contents_total", "Contents of requests under which targets ended, by what became of them here.", "what")
	v.table = poison.New(v.changed)
	return v
}

// changed logs and counts a change. A suspicion that others told is not logged: whoever
// saw the end does.
func (v *verdicts) changed(c poison.Change) {
	v.counted.WithLabelValues(string(c.What)).Inc()
	if c.Origin == poison.Seen && c.Ends > 1 {
		v.soon()
	}
	fields := logrus.Fields{
		"event": "content_" + string(c.What), "content": c.Content.String(), "service": c.Service, "customer": c.Customer,
		"request": c.Request, "origin": c.Origin, "ends": c.Ends,
	}
	if c.Target != (fleet.Life{}) {
		fields["target"], fields["born"] = c.Target.ID, c.Target.Born
	}
	if !c.Until.IsZero() {
		fields["until"] = c.Until.UTC().Format(time.RFC3339)
	}
	v.log.WithFields(fields).Info(meanings[c.What])
}

var meanings = map[poison.What]string{
	poison.Suspected: "a target ended while it ran this; it goes alone from now on",
	poison.Convicted: "requests with this content are refused",
	poison.Cleared:   "it has been served; the ends are not held against it",
	poison.Lifted:    "the store says that the verdict is lifted",
	poison.Expired:   "the verdict has lapsed; it goes alone, and one more end renews it",
	poison.Dropped:   "too many contents are kept; this one is forgotten",
}

// run writes verdicts until ctx ends.
func (v *verdicts) run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, verdictsEvery)
		now := time.Now()
		v.table.Sweep(now)
		if now.Before(v.pauseUntil) {
			continue
		}
		_, standsIn := v.seat.Held()
		for _, verdict := range v.table.Unkept(standsIn, now) {
			v.write(ctx, verdict)
		}
		if standsIn {
			v.clean(ctx, now)
		}
	}
}

func (v *verdicts) write(ctx context.Context, verdict poison.Verdict) {
	v.mu.Lock()
	full := verdict.Revision == 0 && len(v.stored) >= verdictsMost
	v.mu.Unlock()
	if full {
		return
	}
	value, err := verdict.Encode()
	if err != nil {
		v.log.WithError(err).WithField("event", "verdict_unwritten").Error("entries that start don't know of the verdict")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, verdictsTry)
	defer cancel()
	revision, err := v.store.Put(ctx, verdictKey(verdict.Content), value, verdict.Revision, "")
	switch {
	case err == nil:
		v.table.Written(verdict, revision)
	case errors.Is(err, store.ErrConflict):
		v.reread(ctx, verdict.Content)
	default:
		// It is tried again; what this process knows holds meanwhile.
		v.pauseUntil = time.Now().Add(verdictsPause)
		v.log.WithError(err).WithFields(logrus.Fields{"event": "verdict_unwritten", "content": verdict.Content.String()}).Warn("the store did not take the verdict yet")
	}
}

// reread takes what another process has written of a content.
func (v *verdicts) reread(ctx context.Context, content poison.Fingerprint) {
	entry, err := v.store.Get(ctx, verdictKey(content))
	if errors.Is(err, store.ErrNotFound) {
		v.gone(content)
		return
	}
	if err != nil {
		v.pauseUntil = time.Now().Add(verdictsPause)
		v.log.WithError(err).WithFields(logrus.Fields{"event": "verdict_unread", "content": content.String()}).Warn("another process wrote the verdict, and it can't be read yet")
		return
	}
	if err := v.read(content, entry.Value, entry.Revision); err != nil {
		v.log.WithError(err).WithFields(logrus.Fields{"event": "verdict_unread", "content": content.String()}).Warn("another process wrote the verdict, and it can't be read")
	}
}

// read takes a verdict that the store has.
func (v *verdicts) read(content poison.Fingerprint, value []byte, revision int64) error {
	now := time.Now()
	verdict, err := poison.Decode(content, value, revision, now)
	if err != nil {
		return err
	}
	until := verdict.Until
	if verdict.Lifted {
		until = now
	}
	v.mu.Lock()
	v.stored[content] = storedVerdict{revision: revision, until: until}
	v.mu.Unlock()
	v.table.Read(verdict, now)
	return nil
}

// gone takes that the store has a verdict no more. That lifts nothing: it lapses by its
// own time, and the store may have lost it.
func (v *verdicts) gone(content poison.Fingerprint) {
	v.mu.Lock()
	delete(v.stored, content)
	v.mu.Unlock()
	v.table.Missing(content)
}

// relisted takes the keys of the system's own that the store has.
func (v *verdicts) relisted(keys map[string]bool) {
	v.mu.Lock()
	var gone []poison.Fingerprint
	for content := range v.stored {
		if !keys[verdictKey(content)] {
			gone = append(gone, content)
		}
	}
	v.mu.Unlock()
	for _, content := range gone {
		v.gone(content)
	}
}

// clean removes verdicts that ended a while ago.
func (v *verdicts) clean(ctx context.Context, now time.Time) {
	v.mu.Lock()
	old := map[poison.Fingerprint]int64{}
	for content, s := range v.stored {
		if now.Sub(s.until) > verdictRest {
			old[content] = s.revision
		}
	}
	v.mu.Unlock()
	for content, revision := range old {
		v.remove(ctx, content, revision)
	}
}

func (v *verdicts) remove(ctx context.Context, content poison.Fingerprint, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, verdictsTry)
	defer cancel()
	_, err := v.store.Delete(ctx, verdictKey(content), revision)
	if err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrNotFound) {
		v.pauseUntil = time.Now().Add(verdictsPause)
		v.log.WithError(err).WithFields(logrus.Fields{"event": "verdict_unwritten", "content": content.String()}).Warn("the store did not remove an old verdict yet")
		return
	}
	v.gone(content)
}

func verdictKey(content poison.Fingerprint) string {
	return platform.VerdictPrefix + content.String()
}

// contentOf returns the content that a verdict's key names; ok is false for other keys.
func contentOf(key string) (content poison.Fingerprint, ok bool, err error) {
	text, ok := strings.CutPrefix(key, platform.VerdictPrefix)
	if !ok {
		return content, false, nil
	}
	content, err = poison.Parse(text)
	return content, true, err
}
