package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

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
	if events.Compacted || int64(events.Revision) < f.Revision() {
		f.synced = false
		return nil
	}
	return f.applyEvents(events.Events)
}

func (f *Follower) list(ctx context.Context) error {
	listing, err := f.config.Store.List(ctx, resource.KeyPrefix)
	if err != nil {
		return fmt.Errorf("list resources: %w", err)
	}
	if int64(listing.Revision) < f.Revision() {
		return fmt.Errorf("%w: platform revision %d, local revision %d", ErrOldRevision, listing.Revision, f.Revision())
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
	f.synced = true
	return errors.Join(append(bad, f.apply(delta))...)
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
	r.Version = int64(e.Revision)
	return r, nil
}
