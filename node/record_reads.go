package node

import (
	"context"
	"fmt"
	"strings"
	"time"

	"acaciakeel/follow"
	"acaciakeel/origin"
	"acaciakeel/platform"
	"acaciakeel/pulses"
	"acaciakeel/store"
)

// recordReadTimeout bounds one read: a page takes milliseconds, and a store that is slow a quarter
// of a second.
const recordReadTimeout = time.Second

// resolveByRecords returns the origin of a stream of which no node has a record: what the store
// has of it, or the base version. Streams of the others are saved before their clients can name
// them.
func (o *streamOrigins) resolveByRecords(ctx context.Context, s origin.Stream, service string) origin.Resolution {
	base, ok := o.exchange.view.markedBase(service)
	if !ok || o.records.do(ctx) != nil {
		return origin.Resolution{Source: origin.Unknown}
	}
	now := time.Now()
	if r, ok := o.lookup(s, true, now); ok {
		return r
	}
	if o.confirmMark(ctx, service) != nil || o.table.IsDisputed(s, now) {
		return origin.Resolution{Source: origin.Unknown}
	}
	if still, ok := o.exchange.view.markedBase(service); !ok || still != base {
		return origin.Resolution{Source: origin.Unknown}
	}
	return origin.Resolution{Origin: origin.Origin{Service: service, Build: base}, Source: origin.BaseVersion}
}

// readRecords reads all records. One that can't be read is an error: it may be that of any stream.
func (o *streamOrigins) readRecords() error {
	ctx, cancel := context.WithTimeout(context.Background(), recordReadTimeout)
	defer cancel()
	listing, err := o.store.List(ctx, o.exchange.view.keys.streams)
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
func (v *view) receiveStreamRecords(key, value string, revision store.Position) {
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
		if !v.isStreamRecord(e.Key) {
			kept = append(kept, e)
		}
	}
	c.Events.Events = kept
	return c
}

// isStreamRecord reports whether a key is that of saved records of streams.
func (v *view) isStreamRecord(key string) bool {
	return strings.HasPrefix(key, v.keys.streams)
}
