package node

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/platform"
	"acaciakeel/store"
)

// versionMark is the mark of a service that has had several software versions recently, as kept
// in the store. Without it, after all nodes were killed at once, none would know that a version
// whose targets are gone may have begun the streams that clients resume.
type versionMark struct {
	builds   []string
	revision int64
	// soleSince is since when this node has seen one version alone; zero while there are
	// several.
	soleSince time.Time
}

// Timing and size of marks.
const (
	versionMarkInterval = 250 * time.Millisecond
	// versionMarkRetention is how long one version must have served alone before a mark is
	// removed: longer than clients resume streams of the others.
	versionMarkRetention = time.Minute
	// maxMarkedVersions bounds the versions that a mark names.
	maxMarkedVersions = 100
)

// setVersionMark applies a mark from the store; an empty value removes it. A mark that can't be
// read counts as one of several versions.
func (v *view) setVersionMark(service, value string, revision int64) {
	key := v.keys.versions + service
	var builds []string
	if value != "" {
		if err := json.Unmarshal([]byte(value), &builds); err != nil {
			v.EntryRejected(platform.RejectedEntry{Key: key, Revision: revision, Err: &platform.EntryError{Reason: platform.BadValue, Err: err}})
			builds = nil
		} else {
			v.rejected.removeRecord(key)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if value == "" {
		delete(v.versionMarks, service)
		return
	}
	v.versionMarks[service] = versionMark{builds: builds, revision: revision, soleSince: v.versionMarks[service].soleSince}
}

// hasOtherVersion reports whether a service is marked as having had other software versions than
// build.
func (v *view) hasOtherVersion(service, build string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	mark, ok := v.versionMarks[service]
	return ok && !slices.Equal(mark.builds, []string{build})
}

// markChange is a write of a mark that is due; without builds it is removed.
type markChange struct {
	service  string
	builds   []string
	revision int64
}

// dueMarkChange returns the change of a service's mark that is due, if any.
func (v *view) dueMarkChange(service string, now time.Time) (c markChange, due bool) {
	builds := v.fleet.Builds(service, now)
	builds = builds[:min(len(builds), maxMarkedVersions)]
	v.mu.Lock()
	defer v.mu.Unlock()
	mark, marked := v.versionMarks[service]
	if len(builds) > 1 {
		mark.soleSince = time.Time{}
		if marked {
			v.versionMarks[service] = mark
		}
		return markChange{service: service, builds: builds, revision: mark.revision}, !slices.Equal(mark.builds, builds)
	}
	if !marked {
		return markChange{}, false
	}
	if mark.soleSince.IsZero() {
		mark.soleSince = now
		v.versionMarks[service] = mark
	}
	return markChange{service: service, revision: mark.revision}, now.Sub(mark.soleSince) >= versionMarkRetention
}

// maintainVersionMarks keeps the marks in the store up to date while this node is the leader.
func (n *Node) maintainVersionMarks(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, versionMarkInterval)
		_, held := n.view.leaderLock.Held()
		for _, service := range n.view.markedServices() {
			c, due := n.view.dueMarkChange(service, time.Now())
			if !due || !held || n.view.follower.Disconnected() {
				continue
			}
			if err := n.writeMark(ctx, c); err != nil && !errors.Is(err, store.ErrConflict) && ctx.Err() == nil {
				n.log.WithError(err).WithFields(logrus.Fields{"event": "version_mark_failed", "service": service}).Warn("could not store that a service has several software versions; after a restart of all nodes its streams may be taken for those of one version")
			}
		}
	}
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

func (n *Node) writeMark(ctx context.Context, c markChange) error {
	key := n.view.keys.versions + c.service
	if c.builds == nil {
		_, err := n.store.Delete(ctx, key, c.revision)
		return err
	}
	value, err := json.Marshal(c.builds)
	if err != nil {
		return err
	}
	_, err = n.store.Put(ctx, key, value, c.revision, "")
	return err
}
