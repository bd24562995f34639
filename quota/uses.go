package quota

import (
	"cmp"
	"slices"
	"time"
)

// Change is a customer that went over its limit, or came back within it.
type Change struct {
	Customer string
	Over     bool
	Use
}

// Use is a customer's use against its limit, as one process knows it.
type Use struct {
	Customer string  `json:"customer"`
	Unit     Unit    `json:"unit"`
	Rate     float64 `json:"rate_per_second"`
	Burst    float64 `json:"burst"`
	// Left is what may be let in now over all processes; below 0 where more was.
	Left float64 `json:"left"`
	// Asked is how much a second is asked of this process, let in or not, and
	// AskedOfAll of all that it hears.
	Asked      float64 `json:"asked_per_second"`
	AskedOfAll float64 `json:"asked_of_all_per_second"`
	Admitted   int64   `json:"admitted_requests"`
	Refused    int64   `json:"refused_requests"`
	Over       bool    `json:"over"`
}

// State is what a process knows of all limits.
type State struct {
	// Members is how many processes serve, Heard how many of them are heard, and Part
	// which part of each limit is left to these.
	Members int     `json:"members"`
	Heard   int     `json:"heard"`
	Part    float64 `json:"part"`
	Uses    []Use   `json:"customers"`
}

// Figures of what is told of customers over their limits.
const (
	// overFor is for how long a customer counts as over its limit after a refusal.
	overFor = 5 * time.Second
	// changesMost bounds the changes that wait to be logged.
	changesMost = 256
)

// noteOver notes a refusal of a customer; the caller holds mu.
func (b *Book) noteOver(a *account, now time.Time) {
	a.lastOver = now
	if !a.over {
		a.over = true
		b.note(a, now)
	}
}

func (b *Book) note(a *account, now time.Time) {
	if len(b.changes) < changesMost {
		b.changes = append(b.changes, Change{Customer: a.name, Over: a.over, Use: b.use(a, now)})
	}
}

// Changes returns the customers that went over their limits or came back within them
// since it was asked last.
func (b *Book) Changes(now time.Time) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.accounts {
		if a.over && now.Sub(a.lastOver) > overFor {
			a.over = false
			b.refresh(a, now)
			b.note(a, now)
		}
	}
	out := b.changes
	b.changes = nil
	return out
}

func (b *Book) use(a *account, now time.Time) Use {
	return Use{
		Customer: a.name, Unit: a.limit.Unit, Rate: a.limit.Rate, Burst: a.limit.Burst, Left: a.level,
		Asked: a.asked(), AskedOfAll: a.askedOfAll(now), Admitted: a.admitted, Refused: a.refused, Over: a.over,
	}
}

// State returns what is known of all limits, by customer.
func (b *Book) State(now time.Time) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := State{Members: b.members, Heard: b.heardCount(now), Part: b.part(now)}
	for _, a := range b.accounts {
		b.refresh(a, now)
		out.Uses = append(out.Uses, b.use(a, now))
	}
	slices.SortFunc(out.Uses, func(a, b Use) int { return cmp.Compare(a.Customer, b.Customer) })
	return out
}
