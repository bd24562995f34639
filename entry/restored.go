package entry

import (
	"context"

	"acaciakeel/configsync"
	"acaciakeel/refusal"
	"acaciakeel/resource"
)

// logConfigEvent logs an event of following the configuration.
func (e *Entry) logConfigEvent(event string, err error) {
	log := e.log.WithError(err).WithField("event", event)
	if event == configsync.EventHistoryReplaced {
		log.Warn("the platform's service was restored from an older copy")
		return
	}
	log.Debug("failed to update the configuration")
}

// storedVersion returns the version that a change of a resource replaces in the platform's service.
// It differs from the version given by the operator, to whom a withheld resource does not exist.
func storedVersion(snapshot *resource.Snapshot, key string, given int64) int64 {
	if given == 0 {
		return snapshot.Withheld[key]
	}
	return given
}

// missingRefusal refuses a request for a resource that is not in force.
func missingRefusal(kind resource.Kind, name string, snapshot *resource.Snapshot) *refusal.Error {
	if _, withheld := snapshot.Withheld[resource.Key(kind, name)]; withheld {
		return refusal.New(refusal.NotFound, "delete it again, or apply it to have it in force",
			"%s %q was deleted; it is back in the platform's service, which was restored from an older copy, and is withheld", kind, name)
	}
	return refusal.New(refusal.NotFound, "see `keelctl get "+string(kind)+"`", "there is no %s %q", kind, name)
}

// deleteVersion deletes a version of a resource. One that is in force and missing in the service,
// which was restored from an older copy, is written first: each process learns of the deletion by a
// change of the key.
func (e *Entry) deleteVersion(ctx context.Context, key string, version int64, snapshot *resource.Snapshot) (int64, error) {
	r, inForce := snapshot.Resources[key]
	switch {
	case inForce && r.Unsaved && r.Version == 0 && version == 0:
		r.Unsaved = false
		written, err := e.writeResource(ctx, r)
		if err != nil {
			return 0, err
		}
		version = written
	default:
		version = storedVersion(snapshot, key, version)
	}
	return e.deleteKey(ctx, key, version)
}
