package ledger

import (
	"time"

	"github.com/google/uuid"
)

// KeyTime returns the creation time embedded in a key, or false if there is none.
// Only UUIDv7 keys carry one.
func KeyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}

// Freshness decides whether a key was created after this incarnation of its
// home agent started, and after the calls that it has forgotten. No process can
// have run the call of such a key unknown to the ledger, so it can be sent
// without a claim in the platform's service, even while that service is down.
type Freshness struct {
	// StartTime is the latest of three times: when this incarnation began to
	// listen, when the set of targets from which a key's home is chosen last
	// changed, and the ledger's ForgottenUntil.
	StartTime time.Time
	// ClockMargin bounds the clock skew between two machines, in either
	// direction, and the time until all processes apply a change of the targets.
	ClockMargin time.Duration
}

// ProvesNew reports whether no process but this one can have received a key
// with the given creation time. It returns false for a creation time further
// in the future than ClockMargin, since such a clock can't be trusted.
func (f Freshness) ProvesNew(created, now time.Time) bool {
	return created.After(f.StartTime.Add(f.ClockMargin)) && !created.After(now.Add(f.ClockMargin))
}
