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

// Bounds of settling a write whose answer was lost.
const (
	settleWriteFor   = 3 * time.Second
	settleWritePause = 100 * time.Millisecond
)

// write stores a resource by compare-and-swap and returns its version. A lost
// answer is settled by reading back: the change id tells whether this very
// change took effect. An accepted change is never reported as failed, nor a
// failed one as accepted; what can't be settled is reported as unknown.
func (e *Entry) write(ctx context.Context, r resource.Resource) (int64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("encode resource: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleWriteFor)
	defer cancel()
	key := resource.Key(r.Kind, r.Name)
	for try := 0; ; try++ {
		version, err := e.store.Put(ctx, key, value, r.Version, "")
		if err == nil {
			return version, nil
		}
		if errors.Is(err, store.ErrUnavailable) && try == 0 {
			return 0, platformDown()
		}
		version, settled, err := e.settleWrite(ctx, key, r)
		if settled {
			return version, err
		}
		select {
		case <-time.After(settleWritePause):
		case <-ctx.Done():
			return 0, unknownChange()
		}
	}
}

func platformDown() *refusal.Error {
	return refusal.New(refusal.PlatformDown, "apply again when it is back", "the platform's service can't be reached; nothing was changed").WithRetryAfter(2 * time.Second)
}

// settleWrite reads what became of a write. It is settled unless the key
// still has its old version: then the write may be sent again, since its
// compare-and-swap lets only one copy take effect.
func (e *Entry) settleWrite(ctx context.Context, key string, r resource.Resource) (version int64, settled bool, err error) {
	entry, err := e.store.Get(ctx, key)
	switch {
	case errors.Is(err, store.ErrNotFound) && r.Version != 0:
		return 0, true, conflict("it was deleted meanwhile")
	case err != nil:
		return 0, false, nil
	}
	found, err := configsync.DecodeEntry(entry)
	switch {
	case err != nil:
		return 0, true, err
	case found.ChangeID == r.ChangeID:
		return found.Version, true, nil
	case found.Version == r.Version:
		return 0, false, nil
	}
	return 0, true, conflict(fmt.Sprintf("its version is %d, changed by %s", found.Version, found.Author))
}

func conflict(found string) *refusal.Error {
	return refusal.New(refusal.Conflict, "read it again, then apply your change to what is there now", "the resource has changed: %s", found)
}

func unknownChange() *refusal.Error {
	r := refusal.NewUnknown("the platform's service did not say whether the change took effect")
	r.Remedy = "read the resource, and apply again with the same change id if it is not there"
	return r
}

// remove deletes a key at a version.
func (e *Entry) remove(ctx context.Context, key string, version int64) (int64, error) {
	revision, err := e.store.Delete(ctx, key, version)
	switch {
	case err == nil:
		return revision, nil
	case errors.Is(err, store.ErrUnavailable):
		return 0, platformDown()
	case errors.Is(err, store.ErrNotFound):
		return 0, refusal.New(refusal.NotFound, "nothing", "the resource is not there")
	case errors.Is(err, store.ErrConflict):
		return 0, conflict("its version is not " + itoa(int(version)))
	}
	if _, err := e.store.Get(context.WithoutCancel(ctx), key); errors.Is(err, store.ErrNotFound) {
		return e.follower.Revision(), nil
	}
	return 0, unknownChange()
}
