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

// Timing and limits of the follower.
const (
	// watchWait bounds one watch call; the list of VMs is read before each.
	watchWait = 2 * time.Second
	// fetchWait bounds one long poll at a neighbour.
	fetchWait = 10 * time.Second
	// retryDelay is the mean delay after a failure. The jitter is half of it in
	// either direction, so that many processes restarted together do not
	// retry together.
	retryDelay = 300 * time.Millisecond
	// minRoundDuration is the duration below which a successful fetch is followed by a
	// delay.
	minRoundDuration = 50 * time.Millisecond
	// maxStartupNeighbours bounds how many neighbours a process queries at startup.
	maxStartupNeighbours = 3
)

// ErrOldRevision is returned for a listing that cannot follow the state in force here within one
// history of the platform's service. The listing is rejected.
var ErrOldRevision = errors.New("the platform's service has listed an older revision than is in force here")

// EventHistoryReplaced is the event of a platform's service that has come back from an older copy
// of its contents. What it lost stays in force until it is written again.
const EventHistoryReplaced = "history_replaced"

// Config configures a Follower.
type Config struct {
	Self vm.VM
	// Neighbours are URLs of other processes. The first few are queried at
	// startup, so that the process has a state while the platform's service
	// is down.
	Neighbours []string
	Store      store.Store
	Directory  store.Directory
	Links      *link.Pool
	// OnEvent, if not nil, is called for each failure and for EventHistoryReplaced, for logs and
	// counters.
	OnEvent func(event string, err error)
}

// Follower keeps the State of one process up to date. Only the goroutine in
// Run replaces the State; all others read it.
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
	f.current.Store(newState(resource.Empty(), nil, vmHistory{}))
	if f.config.OnEvent == nil {
		f.config.OnEvent = func(string, error) {}
	}
	return f
}

// State returns the state in force at this process.
func (f *Follower) State() *State {
	return f.current.Load()
}

// Revision returns the revision in force at this process.
func (f *Follower) Revision() int64 {
	return f.State().Snapshot.Revision
}

// Changed returns a channel that is closed at the next change of State.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Hint reports a revision seen in a message from another process. If it is
// higher than the one in force, the follower starts a new round at once. If it
// belongs to a later history, this process counts that history as well.
func (f *Follower) Hint(revision int64) {
	if revision <= f.Revision() {
		return
	}
	if position := store.Position(revision); f.isLater(position) {
		f.advance(position.History())
	}
	select {
	case f.hint <- revision:
	default:
	}
}

// Await blocks until the revision is in force here or ctx is done.
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

// Run keeps the State up to date until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	f.start(ctx)
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failures++
			f.sleepWithJitter(ctx)
			continue
		}
		f.failures = 0
	}
}

// start fetches the state from several neighbours and keeps the highest
// revision, so that the process can serve while the platform's service is
// down. Without a state from a neighbour it reads the list of VMs.
func (f *Follower) start(ctx context.Context) {
	for i, url := range f.config.Neighbours {
		if i == maxStartupNeighbours {
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

// step runs one round: a carrier reads from the platform, any other process
// fetches from a carrier.
func (f *Follower) step(ctx context.Context) error {
	round, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.cancelOnHint(round, cancel)
	url, ok := f.source()
	if !ok {
		return f.ignoreHinted(round, f.syncFromPlatform(round))
	}
	began := time.Now()
	err := f.fetch(round, url, fetchWait)
	if err != nil {
		f.config.OnEvent("fetch_failed", err)
	}
	if err == nil && time.Since(began) < minRoundDuration {
		// Carriers can hold different lists of VMs for a while. Without the
		// delay a process would alternate between them in a busy loop.
		f.sleepWithJitter(round)
	}
	return f.ignoreHinted(round, err)
}

// cancelOnHint cancels a waiting round when a hint has a higher revision than
// the one in force, so that the next round starts at once.
func (f *Follower) cancelOnHint(round context.Context, cancel context.CancelFunc) {
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

// source returns the URL of the carrier to fetch from, or false if this
// process is a carrier itself: one of the first two of its data centre, or a
// later one after as many failures as it takes to reach its position.
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

func (f *Follower) sleepWithJitter(ctx context.Context) {
	half := retryDelay / 2
	select {
	case <-time.After(half + rand.N(2*half)):
	case <-ctx.Done():
	}
}

// replaceState replaces the State if the snapshot is newer or the list of VMs has
// changed. A nil argument keeps the current value.
func (f *Follower) replaceState(s *resource.Snapshot, vms []vm.VM) {
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
	f.reportReplaced(old.Snapshot, s)
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// reportReplaced reports a state of a later history than the one before.
func (f *Follower) reportReplaced(old, next *resource.Snapshot) {
	before, now := store.Position(old.Revision), store.Position(next.Revision)
	if before == 0 || now.History() <= before.History() {
		return
	}
	f.config.OnEvent(EventHistoryReplaced, fmt.Errorf(
		"the platform's service was restored from an older copy: history %d at revision %d after history %d at revision %d; %d resources in force are not in it, %d deleted ones are back and withheld; write them again or delete them",
		now.History(), now.Revision(), before.History(), before.Revision(), len(next.Unsaved()), len(next.Withheld)))
}
