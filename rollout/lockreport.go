package rollout

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/store"
	"acaciakeel/telemetry"
)

// AcquireBlocker is the reason why a process does not try to acquire the leader lock.
type AcquireBlocker string

// The reasons, as logged. NotBlocked means that it tries.
const (
	NotBlocked AcquireBlocker = ""
	// StoreDisconnected: the last attempt to reach the store failed.
	StoreDisconnected AcquireBlocker = "store_disconnected"
	// NoConfig: no configuration has been received.
	NoConfig AcquireBlocker = "no_config"
	// NotCandidate: the process is stopping and others serve.
	NotCandidate AcquireBlocker = "not_candidate"
	// NoLease: the process has no lease in the store.
	NoLease AcquireBlocker = "no_lease"
	// NoHistory: the record of the latest holders has not been read.
	NoHistory AcquireBlocker = "no_history"
	// HeldHere: the process holds the lock.
	HeldHere AcquireBlocker = "held_here"
	// HeldElsewhere: another process holds the lock.
	HeldElsewhere AcquireBlocker = "held_elsewhere"
	// AttemptInProgress: the response to an earlier attempt is awaited.
	AttemptInProgress AcquireBlocker = "attempt_in_progress"
	// LossBackoff: the process lost the lock a short time ago, or an earlier process of its
	// machine may have.
	LossBackoff AcquireBlocker = "loss_backoff"
	// ForeignBackoff: the key got the entry of another writer a short time ago.
	ForeignBackoff AcquireBlocker = "foreign_backoff"
	// HistoryReplaced: the store came back from an older copy a short time ago, and the
	// holder before that may not have noticed yet.
	HistoryReplaced AcquireBlocker = "history_replaced"
	// HolderVanished: the entry of another holder is gone and its end was not observed.
	HolderVanished AcquireBlocker = "holder_vanished"
)

// attemptResult is the outcome of one attempt to write the lock's key.
type attemptResult string

const (
	attemptAcquired    attemptResult = "acquired"
	attemptConflict    attemptResult = "conflict"
	attemptNoLease     attemptResult = "lease_ended"
	attemptUnavailable attemptResult = "unavailable"
	attemptUnknown     attemptResult = "unknown"
)

// resultOf returns the outcome of an attempt that ended with err.
func resultOf(err error) attemptResult {
	switch {
	case err == nil:
		return attemptAcquired
	case errors.Is(err, store.ErrConflict):
		return attemptConflict
	case errors.Is(err, store.ErrNotFound):
		return attemptNoLease
	case errors.Is(err, store.ErrUnavailable):
		return attemptUnavailable
	}
	return attemptUnknown
}

// LockMetrics holds the metrics of the leader lock.
type LockMetrics struct {
	attempts *prometheus.CounterVec
}

// NewLockMetrics registers the metrics of a lock.
func NewLockMetrics(r *prometheus.Registry, lock *LeaderLock) *LockMetrics {
	telemetry.NewGaugeFunc(r, "keel_node_seat_vacant_seconds", "Time since a process was last known to hold the right to give orders; 0 while one does.", func() float64 {
		return lock.VacantFor().Seconds()
	})
	return &LockMetrics{attempts: telemetry.NewCounter(r, "keel_node_seat_attempts_total", "Attempts to take the right to give orders, by result.", "result")}
}

// lockReporter logs and counts the attempts of one lock. The lock's mutex guards it.
type lockReporter struct {
	log     logrus.FieldLogger
	metrics *LockMetrics
	// blocker is the reason that was logged last.
	blocker AcquireBlocker
	// vacantSince is when the lock was last seen to have no holder; zero while it has one.
	vacantSince clock.BootTime
}

// recordHolder records whether a process is known to hold the lock.
func (r *lockReporter) recordHolder(held bool) {
	switch {
	case held:
		r.vacantSince = 0
	case r.vacantSince == 0:
		r.vacantSince = clock.Now()
	}
}

// recordBlocker logs the reason why no attempt is made, once for each change.
func (r *lockReporter) recordBlocker(blocker AcquireBlocker, state lockState) {
	if blocker == r.blocker {
		return
	}
	r.blocker = blocker
	if blocker == NotBlocked {
		return
	}
	r.log.WithFields(logrus.Fields{"event": "seat_waits", "reason": blocker, "state": state}).Info("leader lock is not tried")
}

// recordAttempt logs and counts an attempt.
func (r *lockReporter) recordAttempt(err error, fields logrus.Fields) {
	result := resultOf(err)
	if r.metrics != nil {
		r.metrics.attempts.WithLabelValues(string(result)).Inc()
	}
	entry := r.log.WithFields(fields).WithFields(logrus.Fields{"event": "seat_attempt", "result": result})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("tried to acquire the leader lock")
}
