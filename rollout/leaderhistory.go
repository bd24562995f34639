package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/store"
)

// leaderHistory is the record of the machines that held the lock recently, the latest one last. It
// is one key of the store without a lease: the memory of a process ends with it, and a machine
// whose process was killed and started again would take turns with the leaders in between. A
// leader writes it before its first order. The lock's mutex guards it.
type leaderHistory struct {
	key     string
	machine string
	// period is for how long after its hold has ended a machine stays in the record.
	period time.Duration
	// started is when this process started, at the earliest.
	started clock.BootTime

	// known is set once the store has been listed.
	known bool
	// names and revision are the latest known state of the key; revision is 0 if it does not
	// exist.
	names    []string
	revision store.Position
	// lastHeld is when each other machine was last known to hold the lock.
	lastHeld map[string]clock.BootTime
	// recorded is the fencing token of this process's hold that the record includes.
	recorded int64
}

// KeepHistory has the lock keep a record of its holders at key. It must be called before the lock
// is used; the lock is not acquired before ObserveHistory.
func (l *LeaderLock) KeepHistory(key string) {
	l.history = &leaderHistory{key: key, machine: machineOf(l.name), period: l.backoff, started: clock.Now(), lastHeld: map[string]clock.BootTime{}}
}

// machineOf returns the machine of a holder, whose name is MACHINE/START.
func machineOf(holder string) string {
	if at := strings.LastIndexByte(holder, '/'); at > 0 {
		return holder[:at]
	}
	return holder
}

// ParseHistory decodes the record of former holders.
func ParseHistory(value string) ([]string, error) {
	var names []string
	if err := json.Unmarshal([]byte(value), &names); err != nil {
		return nil, fmt.Errorf("decode the record of leaders: %w", err)
	}
	return names, nil
}

// ObserveHistory records the state of the record of holders at a revision of the store; exists is
// false if the key does not exist. An unreadable record is one without names.
func (l *LeaderLock) ObserveHistory(names []string, exists bool, revision store.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.history != nil {
		l.history.observe(names, exists, revision)
	}
}

func (h *leaderHistory) observe(names []string, exists bool, revision store.Position) {
	h.known = true
	if revision < h.revision {
		return
	}
	if !exists {
		revision = 0
	}
	h.names, h.revision = names, revision
	for _, name := range names {
		h.recordHolder(name)
	}
}

// recordHolder records that a machine holds the lock or held it until now.
func (h *leaderHistory) recordHolder(name string) {
	if name != "" && name != h.machine {
		h.lastHeld[name] = clock.Now()
	}
}

// blocker returns why the lock may not be acquired by what the record says. Orders of an earlier
// process of this machine were given before this one started.
func (h *leaderHistory) blocker() AcquireBlocker {
	if !h.known {
		return NoHistory
	}
	at := slices.Index(h.names, h.machine)
	if superseded := at >= 0 && at < len(h.names)-1; superseded && h.started.Since() < h.period {
		return LossBackoff
	}
	return NotBlocked
}

// next returns the record with this machine as the holder.
func (h *leaderHistory) next() []string {
	var names []string
	for name, at := range h.lastHeld {
		if at.Since() >= h.period {
			delete(h.lastHeld, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return append(names, h.machine)
}

// recordHold writes the record if this process holds the lock and the record does not say so, and
// reports whether it does now and did not before.
func (l *LeaderLock) recordHold(ctx context.Context) bool {
	l.mu.Lock()
	h, fence := l.history, l.fence()
	// Another leader may have been recorded and gone since the lock was free by what this process
	// knew, which the write of the record shows.
	if h == nil || h.blocker() != NotBlocked || fence == 0 || h.recorded == fence {
		l.mu.Unlock()
		return false
	}
	names, revision := h.next(), h.revision
	l.mu.Unlock()
	// Written even if it would not change: the condition shows that no other record is newer.
	revision, err := l.writeHistory(ctx, names, revision)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.log.WithError(err).WithFields(logrus.Fields{"event": "seat_history_failed", "fence": fence}).Warn("could not record the leader; no load orders until a later attempt succeeds")
		return false
	}
	if revision >= h.revision {
		h.names, h.revision = names, revision
	}
	if l.fence() != fence {
		return false
	}
	h.recorded = fence
	l.log.WithFields(logrus.Fields{"event": "seat_recorded", "fence": fence, "holders": strings.Join(names, " ")}).Info("this process sends load orders now")
	return true
}

// writeHistory writes the record at the expected revision. An entry that this process has not
// observed yet is read before the next attempt.
func (l *LeaderLock) writeHistory(ctx context.Context, names []string, expected store.Position) (revision store.Position, err error) {
	value, err := json.Marshal(names)
	if err != nil {
		return 0, err
	}
	revision, err = l.store.Put(ctx, l.history.key, value, expected, "")
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return revision, err
	}
	current := conflict.Current
	if string(current.Value) == string(value) {
		return current.Revision, nil // the response to an earlier attempt was lost
	}
	found, parseErr := ParseHistory(string(current.Value))
	if parseErr != nil {
		found = nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history.names, l.history.revision = found, current.Revision
	for _, name := range found {
		l.history.recordHolder(name)
	}
	return 0, err
}
