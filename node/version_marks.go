package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/platform"
	"acaciakeel/store"
)

// versionMark names the software versions of a service that may have begun streams which clients
// still resume, as kept in the store. It is written before streams begin at a version. After all
// nodes were killed at once it is all that is known of versions whose targets are gone.
type versionMark struct {
	// builds are in the order in which they were added.
	builds []string
	// base is the one that was alone before others were added, if hasBase is set. Streams of the
	// others are saved before their clients can name them, so that one without a record is of
	// this version.
	base     string
	hasBase  bool
	revision store.Position
	// unreadable is set if the mark can't be read: any version may have begun streams.
	unreadable bool
	// seenAt is when this node first saw each version marked; zero if that was at its start.
	seenAt map[string]time.Time
	// absentSince is since when this node has seen no target of each marked version, and of
	// an unreadable mark since when it has seen that.
	absentSince map[string]time.Time
	// dueSince is since when a change of the mark has been due; zero if none is.
	dueSince time.Time
}

// Timing and size of marks.
const (
	versionMarkInterval = 100 * time.Millisecond
	// versionMarkRetention is how long a version without targets stays marked: longer than
	// clients resume its streams.
	versionMarkRetention = time.Minute
	// maxMarkedVersions bounds the versions that a mark names.
	maxMarkedVersions = 100
	// versionMarkTakeover is how long a change has been due when nodes other than the leader
	// write it, unless it is urgent, and versionMarkTakeoverStep spreads them by their number, so
	// that few try.
	versionMarkTakeover     = 500 * time.Millisecond
	versionMarkTakeoverStep = 10 * time.Millisecond
	// maxBaseNodes is up to how many nodes first events wait until their streams are saved, so that
	// there is a base version: the more, the longer that takes.
	maxBaseNodes = 40
)

// markValue is a mark in the store.
type markValue struct {
	Builds []string `json:"builds"`
	Base   *string  `json:"base,omitempty"`
}

// setVersionMark applies a mark from the store; an empty value removes it.
func (v *view) setVersionMark(service, value string, revision store.Position) {
	key := v.keys.versions + service
	var read markValue
	var unreadable bool
	if value != "" {
		if err := json.Unmarshal([]byte(value), &read); err != nil || len(read.Builds) == 0 {
			v.EntryRejected(platform.RejectedEntry{Key: key, Revision: revision, Err: &platform.EntryError{Reason: platform.BadValue, Err: err}})
			read, unreadable = markValue{}, true
		} else {
			v.rejected.removeRecord(key)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	former := v.versionMarks[service]
	if former != nil && revision < former.revision {
		return
	}
	if value == "" {
		delete(v.versionMarks, service)
		return
	}
	mark := &versionMark{builds: read.Builds, revision: revision, unreadable: unreadable, seenAt: map[string]time.Time{}, absentSince: map[string]time.Time{}}
	if read.Base != nil {
		mark.base, mark.hasBase = *read.Base, slices.Contains(read.Builds, *read.Base)
	}
	now := time.Now()
	for _, b := range read.Builds {
		switch at, known := former.seen(b); {
		case known:
			mark.seenAt[b], mark.absentSince[b] = at, former.absentSince[b]
		case v.hasListed():
			mark.seenAt[b] = now
		}
	}
	v.versionMarks[service] = mark
}

func (m *versionMark) seen(build string) (at time.Time, known bool) {
	if m == nil {
		return time.Time{}, false
	}
	return m.seenAt[build], slices.Contains(m.builds, build)
}

// hasListed reports whether the keys of the store have been listed since the start.
func (v *view) hasListed() bool {
	if v.follower == nil {
		return true
	}
	_, listed := v.follower.Age()
	return listed
}

// soleMarked returns the only version of a service that may have begun streams; ok is false if
// there are several, or if that is not known.
func (v *view) soleMarked(service string) (build string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	mark := v.versionMarks[service]
	if mark == nil || mark.unreadable || len(mark.builds) != 1 {
		return "", false
	}
	return mark.builds[0], true
}

// markedBase returns the version that began all streams of a service without a record; ok is false if
// there is none.
func (v *view) markedBase(service string) (build string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	mark := v.versionMarks[service]
	if mark == nil {
		return "", false
	}
	if len(mark.builds) == 1 {
		return mark.builds[0], true
	}
	return mark.base, mark.hasBase
}

// beginAt returns the versions of a service at which streams begin; empty for all. Streams begin only
// at marked versions, as those without a record are taken for one of them, and preferably at those
// that all nodes with a fresh view have seen marked. While nothing can be saved, they begin at the
// base version if it has targets. Without a readable mark no version is taken for the only one, so
// they begin at all.
func (v *view) beginAt(service string, canSave bool, now time.Time) []string {
	targets := v.fleet.BuildTargets(service)
	if base, ok := v.markedBase(service); ok && targets[base] > 0 && !canSave {
		return []string{base}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	mark := v.versionMarks[service]
	if mark == nil || mark.unreadable {
		return nil
	}
	var settled []string
	for _, b := range mark.builds {
		if now.Sub(mark.seenAt[b]) >= viewFreshFor {
			settled = append(settled, b)
		}
	}
	if haveMost(settled, targets) {
		return settled
	}
	return mark.builds
}

// countTargets returns how many of a service's targets have one of the versions.
func countTargets(builds []string, targets map[string]int) (n int) {
	for _, b := range builds {
		n += targets[b]
	}
	return n
}

// haveMost reports whether at least half of a service's targets have one of the versions.
func haveMost(builds []string, targets map[string]int) bool {
	n, all := countTargets(builds, targets), 0
	for _, ready := range targets {
		all += ready
	}
	return n > 0 && 2*n >= all
}

// markChange is a write of a mark that is due; without builds it is removed.
type markChange struct {
	service  string
	builds   []string
	base     string
	hasBase  bool
	revision store.Position
	// dueFor is how long the change has been due.
	dueFor time.Duration
	// urgent is set if no stream can begin until it is written.
	urgent bool
}

// dueMarkChange returns the change of a service's mark that is due, if any.
func (v *view) dueMarkChange(service string, now time.Time) (c markChange, due bool) {
	present := v.fleet.Builds(service, now)
	v.mu.Lock()
	defer v.mu.Unlock()
	mark := v.versionMarks[service]
	if mark == nil {
		present = present[:min(len(present), maxMarkedVersions)]
		return markChange{service: service, builds: present}, len(present) > 0
	}
	if mark.unreadable && !mark.isObsolete("", false, now) {
		return markChange{}, false
	}
	c = markChange{service: service, revision: mark.revision}
	for _, b := range mark.builds {
		if !mark.isObsolete(b, slices.Contains(present, b), now) {
			c.builds = append(c.builds, b)
		}
	}
	for _, b := range present {
		if !slices.Contains(c.builds, b) && len(c.builds) < maxMarkedVersions {
			c.builds = append(c.builds, b)
		}
	}
	c.base, c.hasBase = mark.nextBase(c.builds, len(v.members))
	if slices.Equal(c.builds, mark.builds) && c.hasBase == mark.hasBase && !mark.unreadable {
		mark.dueSince = time.Time{}
		return markChange{}, false
	}
	if mark.dueSince.IsZero() {
		mark.dueSince = now
	}
	c.dueFor = now.Sub(mark.dueSince)
	c.urgent = countTargets(mark.builds, v.fleet.BuildTargets(service)) == 0
	return c, true
}

// nextBase returns the base version of a mark that names the given versions; ok is false if there is
// none, as there is no need while it names one.
func (m *versionMark) nextBase(builds []string, nodes int) (base string, ok bool) {
	base, ok = m.base, m.hasBase
	if len(m.builds) == 1 {
		base, ok = m.builds[0], true
	}
	return base, ok && len(builds) > 1 && slices.Contains(builds, base) && nodes <= maxBaseNodes
}

// isObsolete reports whether a version without targets need not stay marked any more.
func (m *versionMark) isObsolete(build string, present bool, now time.Time) bool {
	if present {
		delete(m.absentSince, build)
		return false
	}
	if m.absentSince[build].IsZero() {
		m.absentSince[build] = now
	}
	return now.Sub(m.absentSince[build]) >= versionMarkRetention
}

// maintainVersionMarks keeps the marks in the store up to date. The leader writes them; others do
// so if it has not for a while.
func (n *Node) maintainVersionMarks(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, versionMarkInterval)
		for _, service := range n.view.markedServices() {
			c, due := n.view.dueMarkChange(service, time.Now())
			if due && n.writesMark(c) && !n.view.follower.Disconnected() {
				n.writeMark(ctx, c)
			}
		}
	}
}

// writesMark reports whether this node is to write a change now.
func (n *Node) writesMark(c markChange) bool {
	if !n.view.hasListed() {
		return false
	}
	if _, leads := n.view.leaderLock.Held(); leads {
		return true
	}
	takeover := versionMarkTakeover
	if c.urgent {
		takeover = versionMarkInterval
	}
	jitter := time.Duration(rand.Int64N(int64(n.view.otherCount()+1))) * versionMarkTakeoverStep
	return c.dueFor >= takeover+jitter
}

// markedServices returns the services that have streams or marks.
func (v *view) markedServices() []string {
	var services []string
	if c := v.config.Load(); c != nil {
		services = c.StreamServices()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for service := range v.versionMarks {
		if !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	return services
}

// writeMark writes a change and applies it here.
func (n *Node) writeMark(ctx context.Context, c markChange) {
	value, revision, err := n.putMark(ctx, c)
	fields := logrus.Fields{"event": "versions_marked", "service": c.service, "builds": c.builds, "base": c.base, "due_ms": c.dueFor.Milliseconds()}
	switch {
	case err == nil:
		n.view.setVersionMark(c.service, value, revision)
		n.log.WithFields(fields).WithField("revision", revision).Info("the store names the software versions that may have begun streams")
	case !errors.Is(err, store.ErrConflict) && ctx.Err() == nil:
		fields["event"] = "version_mark_failed"
		n.log.WithError(err).WithFields(fields).Warn("could not store which software versions may have begun streams; until it succeeds, no streams begin at the others")
	}
}

func (n *Node) putMark(ctx context.Context, c markChange) (value string, revision store.Position, err error) {
	key := n.view.keys.versions + c.service
	if len(c.builds) == 0 {
		revision, err = n.store.Delete(ctx, key, c.revision)
		return "", revision, err
	}
	mark := markValue{Builds: c.builds}
	if c.hasBase {
		mark.Base = &c.base
	}
	data, err := json.Marshal(mark)
	if err != nil {
		return "", 0, err
	}
	revision, err = n.store.Put(ctx, key, data, c.revision, "")
	return string(data), revision, err
}
