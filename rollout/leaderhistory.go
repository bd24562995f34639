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
	"acaciakeel/order"
	"acaciakeel/store"
)

// LeaderRecord is the record of the machines that held the lock recently.
type LeaderRecord struct {
	// Machines are their names, the latest one last.
	Machines []string `json:"machines"`
	// Token is the highest fencing token; 0 in a record of an earlier build, whose tokens
	// were revisions.
	Token int64 `json:"token"`
}

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
	// now is replaced by tests.
	now func() clock.BootTime

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
	l.history = &leaderHistory{key: key, machine: machineOf(l.name), period: l.backoff, started: l.now(), now: l.now, lastHeld: map[string]clock.BootTime{}}
}

// machineOf returns the machine of a holder, whose name is MACHINE/START.
func machineOf(holder string) string {
	if at := strings.LastIndexByte(holder, '/'); at > 0 {
		return holder[:at]
	}
	return holder
}

// ParseHistory decodes the record of former holders. Earlier builds write the names alone.
func ParseHistory(value string) (LeaderRecord, error) {
	var r LeaderRecord
	if strings.HasPrefix(strings.TrimSpace(value), "[") {
		if err := json.Unmarshal([]byte(value), &r.Machines); err != nil {
			return LeaderRecord{}, fmt.Errorf("decode the record of leaders: %w", err)
		}
		return r, nil
	}
	if err := json.Unmarshal([]byte(value), &r); err != nil {
		return LeaderRecord{}, fmt.Errorf("decode the record of leaders: %w", err)
	}
	if !order.ValidToken(r.Token) {
		return LeaderRecord{}, fmt.Errorf("decode the record of leaders: %d is not a fencing token", r.Token)
	}
	return r, nil
}

// ObserveHistory records the state of the record of holders at a position of the store; exists is
// false if the key does not exist. An unreadable record is one without names and without a token.
func (l *LeaderLock) ObserveHistory(r LeaderRecord, exists bool, position store.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.history == nil || !l.enterHistory(position) {
		return
	}
	l.highestToken = max(l.highestToken, r.Token)
	l.history.observe(r.Machines, exists, position)
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

// enterHistory drops what is known of the record in an earlier history of the store. When the
// machines held the lock remains known.
func (h *leaderHistory) enterHistory() {
	h.known, h.names, h.revision, h.recorded = false, nil, 0, 0
}

// recordHolder records that a machine holds the lock or held it until now.
func (h *leaderHistory) recordHolder(name string) {
	if name != "" && name != h.machine {
		h.lastHeld[name] = h.now()
	}
}

// blocker returns why the lock may not be acquired by what the record says. Orders of an earlier
// process of this machine were given before this one started.
func (h *leaderHistory) blocker() AcquireBlocker {
	if !h.known {
		return NoHistory
	}
	at := slices.Index(h.names, h.machine)
	if superseded := at >= 0 && at < len(h.names)-1; superseded && time.Duration(h.now()-h.started) < h.period {
		return LossBackoff
	}
	return NotBlocked
}

// next returns the record with this machine as the holder.
func (h *leaderHistory) next() []string {
	var names []string
	for name, at := range h.lastHeld {
		if time.Duration(h.now()-at) >= h.period {
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
	h := l.history
	// Another leader may have been recorded and gone since the lock was free by what this process
	// knew, which the write of the record shows.
	if h == nil || h.blocker() != NotBlocked || l.token == 0 || h.recorded == l.token {
		l.mu.Unlock()
		return false
	}
	if l.highestToken > l.token {
		l.issueToken()
	}
	record, token, expected := LeaderRecord{Machines: h.next(), Token: l.token}, l.token, h.revision
	l.mu.Unlock()
	// Written even if it would not change: the condition shows that no other record is newer.
	revision, err := l.writeHistory(ctx, record, expected)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.log.WithError(err).WithFields(logrus.Fields{"event": "seat_history_failed", "fence": token}).Warn("could not record the leader; no load orders until a later attempt succeeds")
		return false
	}
	if !l.enterHistory(revision) || l.token != token {
		return false
	}
	if revision >= h.revision {
		h.names, h.revision = record.Machines, revision
	}
	h.recorded = token
	l.log.WithFields(logrus.Fields{"event": "seat_recorded", "fence": token, "holders": strings.Join(record.Machines, " ")}).Info("this process sends load orders now")
	return true
}

// writeHistory writes the record at the expected position. An entry that this process has not
// observed yet is read before the next attempt.
func (l *LeaderLock) writeHistory(ctx context.Context, record LeaderRecord, expected store.Position) (revision store.Position, err error) {
	value, err := json.Marshal(record)
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
		found = LeaderRecord{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if current.Revision != 0 && !l.enterHistory(current.Revision) {
		return 0, err
	}
	l.highestToken = max(l.highestToken, found.Token)
	l.history.names, l.history.revision = found.Machines, current.Revision
	for _, name := range found.Machines {
		l.history.recordHolder(name)
	}
	return 0, err
}
