package ledger

import (
	"time"

	"github.com/google/uuid"
)

// KeyTime returns when a key was made, if it carries that: a UUIDv7 does.
func KeyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// Freshness decides whether a key provably can't have run before this
// incarnation of its home agent began, so that its call needs no claim in the
// platform's service. This serves holds while that service is down.
type Freshness struct {
	// StartTime is when this incarnation began to listen, or when the targets
	// among which homes are chosen last changed, if that was later.
	StartTime time.Time
	// ClockMargin bounds the difference of two machines' clocks, both ways, and
	// the time until a change of the targets is in force everywhere.
	ClockMargin time.Duration
}

// ProvesNew reports whether a key made at the given time is new to all
// processes but this one. A key from the future is not believed.
func (f Freshness) ProvesNew(made, now time.Time) bool {
	return made.After(f.StartTime.Add(f.ClockMargin)) && !made.After(now.Add(f.ClockMargin))
}
