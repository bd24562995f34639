package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// markReads are the reads of the marks of software versions, by service.
type markReads struct {
	mu        sync.Mutex
	byService map[string]*sharedRead
	// reads counts reads by result; nil disables counting.
	reads *prometheus.CounterVec
}

// markReadTimeout bounds the wait for a mark: the store answers in milliseconds, and in a quarter of
// a second when it is slow.
const markReadTimeout = 300 * time.Millisecond

var errStoreUnreachable = errors.New("the store did not answer the last call")

// of returns the reads of a service's mark.
func (r *markReads) of(service string, read func() error) *sharedRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	shared := r.byService[service]
	if shared == nil {
		if r.byService == nil {
			r.byService = map[string]*sharedRead{}
		}
		shared = &sharedRead{read: read}
		r.byService[service] = shared
	}
	return shared
}

func (r *markReads) count(err error) {
	if r.reads == nil {
		return
	}
	result := "read"
	if err != nil {
		result = "failed"
	}
	r.reads.WithLabelValues(result).Inc()
}

// confirmMark returns nil once this node's view has the mark of a service that the store had after
// the call, or a later one. There is no answer from a store that did not answer the last call.
func (o *streamOrigins) confirmMark(ctx context.Context, service string) error {
	if o.exchange.view.follower.Disconnected() {
		return errStoreUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, markReadTimeout)
	defer cancel()
	return o.marks.of(service, func() error { return o.readMark(service) }).do(ctx)
}

// readMark reads the mark of a service.
func (o *streamOrigins) readMark(service string) error {
	ctx, cancel := context.WithTimeout(context.Background(), markReadTimeout)
	defer cancel()
	view := o.exchange.view
	entry, err := o.store.Get(ctx, view.keys.versions+service)
	if err == nil {
		err = entry.DecodeErr
	}
	o.marks.count(err)
	if err != nil {
		return err
	}
	view.setVersionMark(service, string(entry.Value), entry.Revision)
	return nil
}
