package configsync

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"acaciakeel/link"
	"acaciakeel/resource"
	"acaciakeel/store"
	"acaciakeel/vm"
)

// Times of the follower.
const (
	// watchWait is how long one watch waits, and how often the list of VMs is read.
	watchWait = 2 * time.Second
	// fetchWait is how long one long poll at a neighbour waits.
	fetchWait = 10 * time.Second
	// retryPause is the mean pause after a failure; it varies by half, so that
	// a herd of restarts spreads.
	retryPause = 300 * time.Millisecond
	// minRound is the least time of a round at a neighbour.
	minRound = 50 * time.Millisecond
	// neighboursAsked is how many neighbours a process asks at its start.
	neighboursAsked = 3
)

// ErrOldRevision: the platform's service came back with an older state than
// processes have in force. It is not believed.
var ErrOldRevision = errors.New("the platform's service has an older revision than is in force here; restore the service, then write the lost changes again")

// Config of a follower.
type Config struct {
	Self vm.VM
	// Neighbours are URLs of a few other processes, asked at the start when
	// the platform's service is down.
	Neighbours []string
	Store      store.Store
	Directory  store.Directory
	Links      *link.Pool
	// OnEvent, where set, hears of each event for logs and counters.
	OnEvent func(event string, err error)
}

// Follower keeps the State of one process current. Its Run is the control
// goroutine; all else only reads.
type Follower struct {
	config  Config
	current atomic.Pointer[State]
	hint    chan int64

	mu      sync.Mutex
	changed chan struct{}

	// Owned by Run.
	synced   bool
	failures int
}

// NewFollower returns a follower with an empty State.
func NewFollower(c Config) *Follower {
	f := &Follower{config: c, hint: make(chan int64, 1), changed: make(chan struct{})}
	f.current.Store(newState(resource.Empty(), nil, lists{}))
	if f.config.OnEvent == nil {
		f.config.OnEvent = func(string, error) {}
	}
	return f
}

// State returns what is in force at this process.
func (f *Follower) State() *State {
	return f.current.Load()
}

// Revision returns the revision in force at this process.
func (f *Follower) Revision() int64 {
	return f.State().Snapshot.Revision
}

// Changed returns a channel that closes at the next change of State.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Hint tells the follower that a message from another process carried a
// revision. A higher one than its own makes it fetch at once.
func (f *Follower) Hint(revision int64) {
	if revision <= f.Revision() {
		return
	}
	select {
	case f.hint <- revision:
	default:
	}
}

// Await waits until the revision is in force here, or ctx ends.
func (f *Follower) Await(ctx context.Context, revision int64) error {
	for {
		changed := f.Changed()
		if f.Revision() >= revision {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("wait for revision %d: %w", revision, ctx.Err())
		}
	}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.start(ctx)
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failures++
			f.pause(ctx)
			continue
		}
		f.failures = 0
	}
}

// start takes the highest state among the platform and several neighbours, so
// that a process serves at once even while the service is down.
func (f *Follower) start(ctx context.Context) {
	for i, url := range f.config.Neighbours {
		if i == neighboursAsked {
			break
		}
		if err := f.fetch(ctx, url, 0); err != nil {
			f.config.OnEvent("start_neighbour_failed", err)
		}
	}
	if f.Revision() > 0 {
		return
	}
	if err := f.refreshVMs(ctx); err != nil {
		f.config.OnEvent("start_list_failed", err)
	}
}

// step does one round: at the platform for a carrier, at a carrier for others.
func (f *Follower) step(ctx context.Context) error {
	round, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.endOnHint(round, cancel)
	url, ok := f.source()
	if !ok {
		return f.ignoreHinted(round, f.carry(round))
	}
	began := time.Now()
	err := f.fetch(round, url, fetchWait)
	if err != nil {
		f.config.OnEvent("fetch_failed", err)
	}
	if err == nil && time.Since(began) < minRound {
		// Two carriers that differ in the lagging list would otherwise keep a
		// process busy going back and forth between them.
		f.pause(round)
	}
	return f.ignoreHinted(round, err)
}

// endOnHint ends a waiting round when a message has shown a higher revision;
// the next round then begins at once and finds it.
func (f *Follower) endOnHint(round context.Context, cancel context.CancelFunc) {
	for {
		select {
		case <-round.Done():
			return
		case revision := <-f.hint:
			if revision > f.Revision() {
				cancel()
				return
			}
		}
	}
}

func (f *Follower) ignoreHinted(round context.Context, err error) error {
	if round.Err() != nil {
		f.synced = false
		return nil
	}
	return err
}

// source returns the carrier to wait at, or false for a process that carries:
// one of the first two of its data centre, or one that found both away.
func (f *Follower) source() (string, bool) {
	carriers := f.State().Carriers(f.config.Self.DataCentre.Name)
	if len(carriers) == 0 {
		return "", false
	}
	n := min(carriersPerDataCentre+f.failures, len(carriers))
	for _, c := range carriers[:n] {
		if c.Name == f.config.Self.Name {
			return "", false
		}
	}
	pick := (f.failures + rand.IntN(carriersPerDataCentre)) % n
	return carriers[pick].URL, true
}

func (f *Follower) pause(ctx context.Context) {
	half := retryPause / 2
	select {
	case <-time.After(half + rand.N(2*half)):
	case <-ctx.Done():
	}
}

// offer swaps the State where the snapshot is newer or the list has changed.
func (f *Follower) offer(s *resource.Snapshot, vms []vm.VM) {
	old := f.State()
	if s == nil || s.Revision <= old.Snapshot.Revision {
		s = old.Snapshot
	}
	if vms == nil {
		vms = old.VMs
	}
	next := newState(s, vms, old.earlier)
	if s == old.Snapshot && next.VMsHash == old.VMsHash {
		return
	}
	f.current.Store(next)
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}
