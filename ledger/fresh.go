package ledger

import (
	"time"

	"github.com/google/uuid"
)

// Made returns when a key was made, if it carries that: a UUIDv7 does.
func Made(key string) (time.Time, bool) {
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
	// Since is when this incarnation began to listen, or when the targets
	// among which homes are chosen last changed, if that was later.
	Since time.Time
	// Margin bounds the difference of two machines' clocks, both ways, and
	// the time until a change of the targets is in force everywhere.
	Margin time.Duration
}

// Provable reports whether a key made at the given time is new to all
// processes but this one. A key from the future is not believed.
func (f Freshness) Provable(made, now time.Time) bool {
	return made.After(f.Since.Add(f.Margin)) && !made.After(now.Add(f.Margin))
}
