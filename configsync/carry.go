package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"acaciakeel/resource"
	"acaciakeel/store"
)

// syncFromPlatform runs one round of a carrier: it reads the list of VMs and then
// lists or watches the platform's resources.
func (f *Follower) syncFromPlatform(ctx context.Context) error {
	if err := f.refreshVMs(ctx); err != nil {
		f.config.OnEvent("list_failed", err)
	}
	err := f.syncResources(ctx)
	if err != nil {
		f.config.OnEvent("watch_failed", err)
	}
	return err
}

func (f *Follower) refreshVMs(ctx context.Context) error {
	vms, err := f.config.Directory.VMs(ctx)
	if err != nil {
		return fmt.Errorf("read the list of VMs: %w", err)
	}
	// An empty list is taken as a fault of the directory, not as an empty
	// fleet; the previous list is kept.
	if len(vms) > 0 {
		f.replaceState(nil, vms)
	}
	return nil
}

func (f *Follower) syncResources(ctx context.Context) error {
	if !f.synced {
		return f.list(ctx)
	}
	events, err := f.config.Store.Watch(ctx, resource.KeyPrefix, store.Position(f.Revision()), watchWait)
	if err != nil {
		f.synced = false
		return fmt.Errorf("watch resources: %w", err)
	}
	if events.Compacted || events.Reconnected || int64(events.Revision) < f.Revision() || f.isLater(events.Revision) {
		f.synced = false
		return nil
	}
	return f.applyEvents(events.Events)
}

// list lists the resources. If the listing cannot follow the state in force within its history, the
// client counts a further one and the resources are listed again, as of that one.
func (f *Follower) list(ctx context.Context) error {
	known := store.Position(f.Revision())
	err := f.listOnce(ctx)
	if !errors.Is(err, ErrOldRevision) || known.History() == store.MaxHistory || !f.advance(known.History()+1) {
		return err
	}
	return f.listOnce(ctx)
}

func (f *Follower) listOnce(ctx context.Context) error {
	known := store.Position(f.Revision())
	f.advance(known.History())
	listing, err := f.config.Store.List(ctx, resource.KeyPrefix)
	if err != nil {
		return fmt.Errorf("list resources: %w", err)
	}
	if listing.Revision.History() < known.History() {
		return fmt.Errorf("list resources: listed in history %d, in force is %d", listing.Revision.History(), known.History())
	}
	delta := resource.Delta{Full: true, Revision: int64(listing.Revision)}
	var bad []error
	for _, e := range listing.Entries {
		r, err := DecodeEntry(e)
		if err != nil {
			bad = append(bad, err)
			continue
		}
		delta.Changed = append(delta.Changed, r)
	}
	if listing.Revision < known || f.State().Snapshot.Contradicts(delta) {
		return fmt.Errorf("%w: %d, in force %d", ErrOldRevision, listing.Revision, known)
	}
	if f.isLater(listing.Revision) {
		delta.ReplacedAt = time.Now()
	}
	f.synced = true
	return errors.Join(append(bad, f.apply(delta))...)
}

// isLater reports whether a position belongs to a later history than the state in force.
func (f *Follower) isLater(p store.Position) bool {
	return p.History() > store.Position(f.Revision()).History()
}

// historyAdvancer is implemented by clients that number the histories of the platform's service.
type historyAdvancer interface {
	// AdvanceHistory makes the number of the present history at least number.
	AdvanceHistory(number int)
}

// advance makes the client's number of the history at least number, so that positions of this
// process and its neighbours agree. It reports whether the client numbers histories.
func (f *Follower) advance(number int) bool {
	client, ok := f.config.Store.(historyAdvancer)
	if ok {
		client.AdvanceHistory(number)
	}
	return ok
}

func (f *Follower) applyEvents(events []store.Event) error {
	if len(events) == 0 {
		return nil
	}
	delta := resource.Delta{Base: f.Revision(), Revision: int64(events[len(events)-1].Revision)}
	var bad []error
	for _, e := range events {
		if e.Deleted {
			delta.Deleted = append(delta.Deleted, resource.Deletion{Key: e.Key, Revision: int64(e.Revision)})
			continue
		}
		r, err := DecodeEntry(e.Entry)
		if err != nil {
			bad = append(bad, err)
			continue
		}
		delta.Changed = append(delta.Changed, r)
	}
	return errors.Join(append(bad, f.apply(delta))...)
}

func (f *Follower) apply(d resource.Delta) error {
	snapshot, err := f.State().Snapshot.With(d)
	f.replaceState(snapshot, nil)
	return err
}

// DecodeEntry decodes a resource as the platform stores it.
func DecodeEntry(e store.Entry) (resource.Resource, error) {
	var r resource.Resource
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return r, fmt.Errorf("decode resource %s: %w", e.Key, err)
	}
	if key := resource.Key(r.Kind, r.Name); key != e.Key {
		return r, fmt.Errorf("the resource at %s says that it is %s", e.Key, key)
	}
	r.Version = int64(e.Revision)
	return r, nil
}
