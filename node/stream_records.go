package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"acaciakeel/clock"
	"acaciakeel/origin"
	"acaciakeel/pulses"
	"acaciakeel/store"
)

// Timing and size of the records of streams that are saved to the store. They are what is known of
// streams once all nodes have been killed.
const (
	// saveInterval is how often a node saves its records. First events wait for that, and targets
	// need longer for most. With more nodes it is longer, as calls are billed: all together write
	// 100 times a second up to maxBaseNodes, whose first events wait for maxBaseSaveInterval at
	// most, and up to 250 times beyond that.
	saveInterval           = 50 * time.Millisecond
	saveIntervalPerNode    = 10 * time.Millisecond
	maxBaseSaveInterval    = maxBaseNodes * saveIntervalPerNode
	minSaveIntervalPerNode = 4 * time.Millisecond
	// recordKeyTime is for how long records are added to one key, so that a node which starts has
	// few keys to read.
	recordKeyTime = time.Second
	// recordLease is how long a record is kept at most, and recordLeaseUse how long a lease is
	// used for new ones: each is kept for origin.Retention at least.
	recordLease    = 2 * origin.Retention
	recordLeaseUse = recordLease - origin.Retention
	// maxSavedStreams is how many streams one key holds, at 4 bytes each. More are not read.
	maxSavedStreams = 4096
	// uncertaintyInterval is how often it is checked which services' records are saved.
	uncertaintyInterval = 200 * time.Millisecond
)

// recordSaver saves this node's records of streams; used by one goroutine.
type recordSaver struct {
	node  *Node
	lease store.LeaseID
	// leaseEnds is until when the lease is used for new records.
	leaseEnds time.Time
	// key is the key to which records are added, former the one before.
	key, former recordKey
	// keys is the number of keys used.
	keys int
	// waiting are closed once what was taken is saved.
	waiting []chan struct{}
	// failing is set while writes fail, which is logged once.
	failing bool
}

// recordKey is a key of the store and the records that it has.
type recordKey struct {
	name     string
	revision store.Position
	records  map[origin.Stream]origin.Origin
	ends     time.Time
}

// reports returns the records by origin.
func (k recordKey) reports() []origin.Report {
	byOrigin := map[origin.Origin][]origin.Stream{}
	for s, o := range k.records {
		byOrigin[o] = append(byOrigin[o], s)
	}
	out := make([]origin.Report, 0, len(byOrigin))
	for o, streams := range byOrigin {
		out = append(out, origin.Report{Origin: o, Streams: streams})
	}
	return out
}

// withdraw removes records that others replace, and reports whether there were any.
func (k recordKey) withdraw(others map[origin.Stream]origin.Origin) (found bool) {
	for s, o := range others {
		if known, ok := k.records[s]; ok && known != o {
			delete(k.records, s)
			found = true
		}
	}
	return found
}

// saveStreamRecords saves the records of streams of those services whose version could not be told
// without them.
func (n *Node) saveStreamRecords(ctx context.Context) {
	saver := &recordSaver{node: n}
	origins := n.exchange.origins
	var checkedAt time.Time
	for {
		clock.Sleep(ctx, saveIntervalFor(n.view.otherCount()+1))
		if ctx.Err() != nil {
			return
		}
		if now := time.Now(); now.Sub(checkedAt) >= uncertaintyInterval {
			origins.table.SaveServices(n.view.uncertainServices())
			checkedAt = now
		}
		if !n.view.follower.Disconnected() {
			saver.save(ctx)
		}
	}
}

// saveIntervalFor returns how often each of a number of nodes saves its records.
func saveIntervalFor(nodes int) time.Duration {
	n := time.Duration(nodes)
	return max(saveInterval, min(n*saveIntervalPerNode, maxBaseSaveInterval), n*minSaveIntervalPerNode)
}

// Announce implements router.Origins. Streams of the base version need not wait: one without a
// record is taken for one of it, unless the store has a record of another version to be replaced.
func (o *streamOrigins) Announce(s origin.Stream, from origin.Origin, replaces bool) (saved <-chan struct{}, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if ok = o.table.Save(s, from); !ok {
		return nil, false
	}
	v := o.exchange.view
	base, hasBase := v.markedBase(from.Service)
	if hasBase && base == from.Build && !replaces || o.cannotSave() || v.otherCount() >= maxBaseNodes {
		return nil, true
	}
	return o.batchSaved, true
}

// cannotSave reports whether records can't be saved at present.
func (o *streamOrigins) cannotSave() bool {
	return o.savesFail.Load() || o.exchange.view.follower.Disconnected()
}

// takeBatch returns the records that wait to be saved, and the channel to be closed once they are.
func (o *streamOrigins) takeBatch() (map[origin.Stream]origin.Origin, chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	records, saved := o.table.TakeUnsaved(), o.batchSaved
	if len(records) > 0 {
		o.batchSaved = make(chan struct{})
	}
	return records, saved
}

// uncertainServices returns the services at which several versions may begin streams, or may soon.
func (v *view) uncertainServices() []string {
	var out []string
	for _, service := range v.markedServices() {
		build, sole := v.soleMarked(service)
		targets := v.fleet.BuildTargets(service)
		if _, listed := targets[build]; !sole || len(targets) > 1 || len(targets) == 1 && !listed {
			out = append(out, service)
		}
	}
	return out
}

// save saves the records that wait.
func (s *recordSaver) save(ctx context.Context) {
	origins := s.node.exchange.origins
	records, saved := origins.takeBatch()
	if len(records) == 0 {
		return
	}
	s.waiting = append(s.waiting, saved)
	for len(records) > 0 {
		batch := takeRecords(records, maxSavedStreams)
		err := s.write(ctx, batch)
		s.report(ctx, len(batch), err)
		if err != nil {
			origins.table.PutBackUnsaved(batch)
			origins.table.PutBackUnsaved(records)
			return
		}
	}
	for _, w := range s.waiting {
		close(w)
	}
	s.waiting = nil
}

// takeRecords removes at most a number of records and returns them.
func takeRecords(from map[origin.Stream]origin.Origin, most int) map[origin.Stream]origin.Origin {
	out := map[origin.Stream]origin.Origin{}
	for s, o := range from {
		if len(out) == most {
			break
		}
		out[s] = o
		delete(from, s)
	}
	return out
}

// write adds a batch to the records of the current key, or begins the next one.
func (s *recordSaver) write(ctx context.Context, batch map[origin.Stream]origin.Origin) error {
	now := time.Now()
	if s.lease == "" || now.After(s.leaseEnds) {
		granted, err := s.node.store.Grant(ctx, recordLease)
		if err != nil {
			return err
		}
		s.lease, s.leaseEnds, s.key, s.former = granted, now.Add(recordLeaseUse), recordKey{}, recordKey{}
	}
	if now.After(s.key.ends) || len(s.key.records)+len(batch) > maxSavedStreams {
		s.keys++
		s.former = s.key
		name := fmt.Sprintf("%s%s/%d", s.node.view.keys.streams, s.node.name, s.keys)
		s.key = recordKey{name: name, records: map[origin.Stream]origin.Origin{}, ends: now.Add(recordKeyTime)}
	}
	if s.former.withdraw(batch) {
		if err := s.put(ctx, &s.former); err != nil {
			return err
		}
	}
	maps.Copy(s.key.records, batch)
	return s.put(ctx, &s.key)
}

// put writes a key. After an error its revision is not known, and other keys are used.
func (s *recordSaver) put(ctx context.Context, k *recordKey) error {
	value, err := pulses.EncodeStoredOrigins(k.reports())
	if err != nil {
		return err
	}
	if len(value) == 0 {
		_, err = s.node.store.Delete(ctx, k.name, k.revision)
		*k = recordKey{}
		return err
	}
	k.revision, err = s.node.store.Put(ctx, k.name, value, k.revision, s.lease)
	if errors.Is(err, store.ErrNotFound) {
		s.lease = ""
	}
	if err != nil {
		s.key, s.former = recordKey{}, recordKey{}
	}
	return err
}

func (s *recordSaver) report(ctx context.Context, records int, err error) {
	result := "saved"
	if err != nil {
		result = "failed"
	}
	s.node.exchange.origins.countRecords(result, records)
	if err != nil && !s.failing && ctx.Err() == nil {
		s.node.log.WithError(err).WithField("event", "stream_records_failed").Warn("could not save which software versions began streams; if all nodes are killed until it succeeds, clients can't resume those")
	}
	s.failing = err != nil
	s.node.exchange.origins.savesFail.Store(s.failing)
}

func (o *streamOrigins) countRecords(result string, n int) {
	if o.saves != nil {
		o.saves.WithLabelValues(result).Add(float64(n))
	}
}
