package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"acaciakeel/fleet"
	"acaciakeel/origin"
	"acaciakeel/store"
	"acaciakeel/telemetry"
)

// streamOrigins tells which software version began a stream. Each node reports the streams that
// begin at it to its group with its updates; for a stream without a record the others are asked.
// It implements router.Origins.
type streamOrigins struct {
	table    *origin.Table
	exchange *peerExchange

	mu sync.Mutex
	// pending are the questions that wait for answers, by number.
	pending map[uint64]chan receivedAnswer
	// recent are the streams that were recorded within maxListingLag, and some older ones.
	recent []recentBegin
	// questions counts questions by result; nil disables counting.
	questions *prometheus.CounterVec
	// batchSaved is closed once the records that wait now are saved.
	batchSaved chan struct{}
	// saves counts records that were saved, or read.
	saves *prometheus.CounterVec
	// savesFail is set while records can't be saved.
	savesFail atomic.Bool
	store     store.Store
	// records reads the saved records of streams, marks the mark of each service.
	records sharedRead
	marks   markReads
}

// recentBegin is a stream that was recorded with the software version of a target.
type recentBegin struct {
	stream origin.Stream
	target string
	at     time.Time
}

const (
	// listingLag is how long after a target's restart its new entry may arrive while the store
	// can be reached: several watches, and the way through the member that watches for its
	// group.
	listingLag = 2 * time.Second
	// maxListingLag bounds the same for a node that was cut off: later, a stream that began at
	// a target which was not heard from has no known origin anyway.
	maxListingLag = 10 * time.Second
)

func newStreamOrigins(p *peerExchange) *streamOrigins {
	return &streamOrigins{table: origin.NewTable(time.Now()), exchange: p, pending: map[uint64]chan receivedAnswer{}, batchSaved: make(chan struct{})}
}

// useStore sets the store. It must be called before origins are resolved.
func (o *streamOrigins) useStore(s store.Store) {
	o.store, o.records.read = s, o.readRecords
}

func (o *streamOrigins) register(r *prometheus.Registry) {
	o.questions = telemetry.NewCounter(r, "keel_node_origin_questions_total", "Streams for which other entries were asked what began them, by result.", "result")
	o.saves = telemetry.NewCounter(r, "keel_node_stream_records_total", "Records of streams in the platform's store, by what became of them: saved, read, failed (they are tried again).", "result")
	o.marks.reads = telemetry.NewCounter(r, "keel_node_version_mark_reads_total", "Reads of the software versions that may have begun a service's streams, for streams without a record, by result: read, failed (other entries are asked).", "result")
	telemetry.NewGaugeFunc(r, "keel_node_stream_origins", "Streams of which this entry knows what began them.", func() float64 { return float64(o.table.Len()) })
	telemetry.NewGaugeFunc(r, "keel_node_stream_origins_dropped_early", "Times that records of streams were dropped early because there were too many.", func() float64 { return float64(o.table.DroppedEarly()) })
}

// viewFreshFor is how old a view of the targets may be to count as fresh: two watches and the way
// through the member that watches for its group.
const viewFreshFor = 1500 * time.Millisecond

// Record implements router.Origins.
func (o *streamOrigins) Record(s origin.Stream, from, announced origin.Origin, target fleet.Instance) {
	now := time.Now()
	o.table.Record(s, from, announced, now)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recent = append(o.recent, recentBegin{stream: s, target: target.ID, at: now})
	// Records are in the order of time, and dropped by halves, not one by one.
	if half := len(o.recent) / 2; now.Sub(o.recent[half].at) > maxListingLag {
		o.recent = slices.Delete(o.recent, 0, half)
	}
}

// Disputed implements router.Origins.
func (o *streamOrigins) Disputed(s origin.Stream) bool {
	return o.table.IsDisputed(s, time.Now())
}

// targetChanged is called when a target is first known to have restarted, or is listed with
// another software version than before. It may have had that version since its restart, so
// either one may have begun the latest streams there.
func (o *streamOrigins) targetChanged(id string) {
	now := time.Now()
	age, _ := o.exchange.view.follower.Age()
	lag := max(listingLag, age+listingLag/2)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, b := range o.recent {
		if b.target == id && now.Sub(b.at) <= lag {
			o.table.Record(b.stream, origin.Disputed, origin.Origin{}, now)
		}
	}
}

// Resolve implements router.Origins.
func (o *streamOrigins) Resolve(ctx context.Context, s origin.Stream, named bool, service string) origin.Resolution {
	r := o.resolve(ctx, s, named, service)
	r.ViewAge, _ = o.exchange.view.follower.Age()
	return r
}

func (o *streamOrigins) resolve(ctx context.Context, s origin.Stream, named bool, service string) origin.Resolution {
	now := time.Now()
	if r, ok := o.lookup(s, named, now); ok {
		return r
	}
	if named && o.table.IsDisputed(s, now) {
		return origin.Resolution{Source: origin.Unknown}
	}
	versions := o.versions(ctx, service)
	if r, ok := origin.ResolveLocally(service, versions); ok {
		return r
	}
	if !versions.Sole && !named {
		return origin.Resolution{Source: origin.Unknown}
	}
	r := o.ask(ctx, s, named, service, versions)
	if r.Known() || !named {
		return r
	}
	return o.resolveByRecords(ctx, s, service)
}

func (o *streamOrigins) lookup(s origin.Stream, named bool, now time.Time) (origin.Resolution, bool) {
	if !named {
		return origin.Resolution{}, false
	}
	return o.table.Lookup(s, now)
}

// versions returns what is known of the software versions that may have begun a service's streams. A
// version is named in the store before a stream begins there, so one that is named alone has begun
// all of them, whichever versions are listed. Any view may be behind, also that of a node which was
// confirmed just now or which others rely on, so the store is asked.
func (o *streamOrigins) versions(ctx context.Context, service string) origin.Versions {
	if _, sole := o.exchange.view.soleMarked(service); !sole {
		return origin.Versions{}
	}
	confirmed := o.confirmMark(ctx, service) == nil
	build, sole := o.exchange.view.soleMarked(service)
	if !sole {
		return origin.Versions{}
	}
	return origin.Versions{Sole: true, Build: build, Confirmed: confirmed}
}

// BeginAt implements router.Origins.
func (o *streamOrigins) BeginAt(service string) []string {
	return o.exchange.view.beginAt(service, !o.cannotSave(), time.Now())
}

// Recorded implements router.Origins.
func (o *streamOrigins) Recorded(s origin.Stream) (origin.Origin, bool) {
	r, ok := o.table.Lookup(s, time.Now())
	return r.Origin, ok
}

// ListFresh implements router.Origins.
func (o *streamOrigins) ListFresh() bool {
	age, ok := o.exchange.view.follower.Age()
	return ok && age < viewFreshFor
}

// Flush implements router.Origins.
func (o *streamOrigins) Flush() {
	if o.table.HasUnsent() {
		o.exchange.sendSoon()
	}
}
