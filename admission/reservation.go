package admission

import "time"

// Reservations are short promises of an agent's time to entries that asked,
// so that many entries that choose at once don't all choose one idle target.
type Reservations struct {
	ttl  time.Duration
	held map[uint64]reservation
}

type reservation struct {
	cost    time.Duration
	expires time.Time
}

// maxReservations bounds the memory of reservations; past it none is made.
const maxReservations = 1024

// NewReservations returns reservations that lapse after ttl.
func NewReservations(ttl time.Duration) *Reservations {
	return &Reservations{ttl: ttl, held: map[uint64]reservation{}}
}

// Reserve reserves cost under id.
func (r *Reservations) Reserve(id uint64, cost time.Duration, now time.Time) {
	if id == 0 || len(r.held) >= maxReservations {
		return
	}
	r.held[id] = reservation{cost: cost, expires: now.Add(r.ttl)}
}

// Release ends the reservation id, because its request came or went elsewhere.
func (r *Reservations) Release(id uint64) {
	delete(r.held, id)
}

// Cost returns the time reserved now.
func (r *Reservations) Cost(now time.Time) time.Duration {
	var sum time.Duration
	for id, held := range r.held {
		if now.After(held.expires) {
			delete(r.held, id)
			continue
		}
		sum += held.cost
	}
	return sum
}
