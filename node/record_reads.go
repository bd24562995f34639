package node

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"acaciakeel/follow"
	"acaciakeel/origin"
	"acaciakeel/platform"
	"acaciakeel/pulses"
	"acaciakeel/store"
)

// recordReads reads the saved records of streams from the store. Those who ask while it is read
// wait for the next read, which begins after they asked.
type recordReads struct {
	store store.Store

	mu            sync.Mutex
	running, next *recordRead
}

// recordRead is one read. err is set before done is closed.
type recordRead struct {
	done chan struct{}
	err  error
}

// recordReadTimeout bounds one read: a page takes milliseconds, and a store that is slow a quarter
// of a second.
const recordReadTimeout = time.Second

// resolveByRecords returns the origin of a stream of which no node has a record: what the store
// has of it, or the base version. Streams of the others are saved before their clients can name
// them.
func (o *streamOrigins) resolveByRecords(ctx context.Context, s origin.Stream, service string) origin.Resolution {
	base, ok := o.exchange.view.markedBase(service)
	if !ok || o.readRecords(ctx) != nil {
		return origin.Resolution{Source: origin.Unknown}
	}
	now := time.Now()
	if r, ok := o.lookup(s, true, now); ok {
		return r
	}
	if still, ok := o.exchange.view.markedBase(service); !ok || still != base || !o.ListFresh() || o.table.IsDisputed(s, now) {
		return origin.Resolution{Source: origin.Unknown}
	}
	return origin.Resolution{Origin: origin.Origin{Service: service, Build: base}, Source: origin.BaseVersion}
}

// readRecords returns once all records have been read that were saved before the call.
func (o *streamOrigins) readRecords(ctx context.Context) error {
	r := &o.reads
	r.mu.Lock()
	if r.next == nil {
		r.next = &recordRead{done: make(chan struct{})}
	}
	read := r.next
	if r.running == nil {
		o.beginRead()
	}
	r.mu.Unlock()
	select {
	case <-read.done:
		return read.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginRead begins the next read, if any; the caller holds mu of the reads.
func (o *streamOrigins) beginRead() {
	r := &o.reads
	if r.running, r.next = r.next, nil; r.running == nil {
		return
	}
	go func(read *recordRead) {
		read.err = o.readAll()
		close(read.done)
		r.mu.Lock()
		defer r.mu.Unlock()
		o.beginRead()
	}(r.running)
}

// readAll reads all records. One that can't be read is an error: it may be that of any stream.
func (o *streamOrigins) readAll() error {
	ctx, cancel := context.WithTimeout(context.Background(), recordReadTimeout)
	defer cancel()
	listing, err := o.reads.store.List(ctx, o.exchange.view.keys.streams)
	if err != nil {
		return err
	}
	for _, e := range listing.Entries {
		if e.DecodeErr != nil {
			return e.DecodeErr
		}
		reports, err := decodeRecords(e.Value)
		if err != nil {
			return fmt.Errorf("read %s: %w", e.Key, err)
		}
		o.applyStored(reports)
	}
	return nil
}

func countStreams(reports []origin.Report) (n int) {
	for _, r := range reports {
		n += len(r.Streams)
	}
	return n
}

// receiveStreamRecords applies saved records; those that this node has saved are known here.
func (v *view) receiveStreamRecords(key, value string, revision int64) {
	if value == "" {
		v.rejected.removeRecord(key)
		return
	}
	if strings.HasPrefix(key, v.keys.streams+strings.TrimPrefix(v.self, v.keys.members)+"/") {
		return
	}
	reports, err := decodeRecords([]byte(value))
	if err != nil {
		v.EntryRejected(platform.RejectedEntry{Key: key, Revision: revision, Err: &platform.EntryError{Reason: platform.BadValue, Err: err}})
		return
	}
	v.rejected.removeRecord(key)
	v.origins.applyStored(reports)
}

func (o *streamOrigins) applyStored(reports []origin.Report) {
	o.table.ApplyStored(reports, time.Now())
	o.countRecords("read", countStreams(reports))
}

func decodeRecords(value []byte) ([]origin.Report, error) {
	reports, err := pulses.DecodeStoredOrigins(value)
	if err == nil && countStreams(reports) > maxSavedStreams {
		err = fmt.Errorf("%d streams, over %d", countStreams(reports), maxSavedStreams)
	}
	return reports, err
}

// withoutStreamRecords returns changes of the store without saved records of streams, which the
// other members of the group have been told of by the nodes at which those began.
func (v *view) withoutStreamRecords(c follow.Changes) follow.Changes {
	var kept []store.Event
	for _, e := range c.Events.Events {
		if !strings.HasPrefix(e.Key, v.keys.streams) {
			kept = append(kept, e)
		}
	}
	c.Events.Events = kept
	return c
}
