package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/operator"
)

// statusTimeout limits the revision requests to the other processes.
const statusTimeout = 500 * time.Millisecond

// statusEndpoint returns the status of the targets as this entry sees them, and the
// configuration revision of each process.
func (e *Entry) statusEndpoint(ctx context.Context, _ any) (any, error) {
	t := e.table.Load()
	s := operator.Status{
		Entry:      e.settings.Self.Name,
		Revision:   t.snapshot().Revision,
		History:    historyOf(t.snapshot().Revision),
		ReplacedAt: t.snapshot().ReplacedAt,
		Unsaved:    t.snapshot().Unsaved(),
		Withheld:   slices.Sorted(maps.Keys(t.snapshot().Withheld)),
		InForce:    e.appliedRevisions(ctx, t),
	}
	for _, name := range slices.Sorted(maps.Keys(t.snapshot().Targets)) {
		spec := t.snapshot().Targets[name]
		load, _ := e.health.load(name, 1)
		s.Targets = append(s.Targets, operator.TargetStatus{
			Name:       name,
			Serves:     spec.Model + spec.Service,
			DataCentre: spec.DataCentre,
			State:      string(e.health.state(name)),
			Leaving:    isDraining(t.state, name),
			Inflight:   load,
		})
	}
	return s, nil
}

// appliedRevisions requests the revision of every listed process. A process that does
// not answer is reported as -1.
func (e *Entry) appliedRevisions(ctx context.Context, t *routingTable) map[string]int64 {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	revisions := map[string]int64{e.settings.Self.Name: t.snapshot().Revision}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, v := range t.state.VMs {
		if v.URL == "" || v.Name == e.settings.Self.Name {
			continue
		}
		wg.Go(func() {
			revision := e.fetchRevision(ctx, v.URL)
			mu.Lock()
			defer mu.Unlock()
			revisions[v.Name] = revision
		})
	}
	wg.Wait()
	return revisions
}

const unknownRevision = -1

func (e *Entry) fetchRevision(ctx context.Context, url string) int64 {
	req := connect.NewRequest(&keelv1.FetchRequest{RevisionOnly: true})
	response, err := e.links.Peer(url).Clients().Config.Fetch(ctx, req)
	if err != nil {
		return unknownRevision
	}
	return int64(response.Msg.Revision)
}
