package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"acaciakeel/configsync"
	"acaciakeel/refusal"
	"acaciakeel/resource"
	"acaciakeel/store"
)

// Limits of retrying a write whose response was lost.
const (
	writeTimeout    = 3 * time.Second
	writeRetryPause = 100 * time.Millisecond
)

// writeResource stores a resource by compare-and-swap and returns its version. If the
// response is lost, it reads the resource back and compares the change id to learn
// whether the change took effect. An accepted change is never reported as failed, nor
// a failed one as accepted; otherwise the outcome is reported as unknown.
func (e *Entry) writeResource(ctx context.Context, r resource.Resource) (int64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("encode resource: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	key := resource.Key(r.Kind, r.Name)
	for try := 0; ; try++ {
		written, err := e.store.Put(ctx, key, value, store.Position(r.Version), "")
		if err == nil {
			return int64(written), nil
		}
		if errors.Is(err, store.ErrUnavailable) && try == 0 {
			return 0, platformUnavailable()
		}
		version, resolved, err := e.resolveWrite(ctx, key, r)
		if resolved {
			return version, err
		}
		select {
		case <-time.After(writeRetryPause):
		case <-ctx.Done():
			return 0, unknownOutcome()
		}
	}
}

func platformUnavailable() *refusal.Error {
	return refusal.New(refusal.PlatformDown, "apply again when it is back", "the platform's service can't be reached; nothing was changed").WithRetryAfter(2 * time.Second)
}

// resolveWrite determines the outcome of a write by reading the key. It is unresolved
// if the read fails or the key still has its old version. The write may then be
// repeated, because compare-and-swap lets only one copy take effect.
func (e *Entry) resolveWrite(ctx context.Context, key string, r resource.Resource) (version int64, resolved bool, err error) {
	storeEntry, err := e.store.Get(ctx, key)
	switch {
	case errors.Is(err, store.ErrNotFound) && e.isFormer(ctx, r.Version):
		return 0, true, restoredRefusal(r.Version)
	case errors.Is(err, store.ErrNotFound) && r.Version != 0:
		return 0, true, conflictRefusal("it was deleted meanwhile")
	case err != nil:
		return 0, false, nil
	}
	stored, err := configsync.DecodeEntry(storeEntry)
	switch {
	case err != nil:
		return 0, true, err
	case stored.ChangeID == r.ChangeID:
		return stored.Version, true, nil
	case stored.Version == r.Version:
		return 0, false, nil
	case r.Version != 0 && historyOf(r.Version) < historyOf(stored.Version):
		return 0, true, restoredRefusal(r.Version)
	}
	return 0, true, conflictRefusal(fmt.Sprintf("its version is %d, changed by %s", stored.Version, stored.Author))
}

func conflictRefusal(found string) *refusal.Error {
	return refusal.New(refusal.Conflict, "read it again, then apply your change to what is there now", "the resource has changed: %s", found)
}

func historyOf(version int64) int { return store.Position(version).History() }

// restoredRefusal refuses a change of a version of an earlier history.
func restoredRefusal(version int64) *refusal.Error {
	return refusal.New(refusal.Conflict, "read it again, then apply your change to what is there now",
		"the platform's service was restored from an older copy since version %d was read", version)
}

// isFormer reports whether a version belongs to a history before the service's present one. A listing
// names that one also for a resource that is missing.
func (e *Entry) isFormer(ctx context.Context, version int64) bool {
	if version == 0 {
		return false
	}
	present := historyOf(e.follower.Revision())
	if listing, err := e.store.List(ctx, formerProbePrefix); err == nil {
		present = max(present, listing.Revision.History())
	}
	return historyOf(version) < present
}

// formerProbePrefix is a prefix without keys, whose listing names the service's position.
const formerProbePrefix = "acaciakeel/history-probe/"

func unknownOutcome() *refusal.Error {
	r := refusal.NewUnknown("the platform's service did not say whether the change took effect")
	r.Remedy = "read the resource, and apply again with the same change id if it is not there"
	return r
}

// deleteKey deletes a key if it still has the given version.
func (e *Entry) deleteKey(ctx context.Context, key string, version int64) (int64, error) {
	revision, err := e.store.Delete(ctx, key, store.Position(version))
	switch {
	case err == nil:
		return int64(revision), nil
	case errors.Is(err, store.ErrUnavailable):
		return 0, platformUnavailable()
	case errors.Is(err, store.ErrNotFound):
		return 0, refusal.New(refusal.NotFound, "nothing", "the resource is not there")
	case errors.Is(err, store.ErrConflict) && e.isFormer(ctx, version):
		return 0, restoredRefusal(version)
	case errors.Is(err, store.ErrConflict):
		return 0, conflictRefusal("its version is not " + itoa(int(version)))
	}
	if _, err := e.store.Get(context.WithoutCancel(ctx), key); errors.Is(err, store.ErrNotFound) {
		return e.follower.Revision(), nil
	}
	return 0, unknownOutcome()
}
