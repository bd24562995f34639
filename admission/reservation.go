package admission

import "time"

// Reservations are short-lived claims of entries on an agent's time. They keep many
// entries that choose a target at the same moment from all choosing the same idle one.
type Reservations struct {
	ttl    time.Duration
	active map[uint64]reservation
}

type reservation struct {
	cost    time.Duration
	expires time.Time
}

// maxReservations bounds the memory in use; beyond it no reservation is made.
const maxReservations = 1024

// NewReservations returns reservations that expire after ttl.
func NewReservations(ttl time.Duration) *Reservations {
	return &Reservations{ttl: ttl, active: map[uint64]reservation{}}
}

// Reserve reserves cost under id.
func (r *Reservations) Reserve(id uint64, cost time.Duration, now time.Time) {
	if id == 0 || len(r.active) >= maxReservations {
		return
	}
	r.active[id] = reservation{cost: cost, expires: now.Add(r.ttl)}
}

// Release ends the reservation id because its request arrived or was sent elsewhere.
func (r *Reservations) Release(id uint64) {
	delete(r.active, id)
}

// Cost returns the total time that is reserved at now.
func (r *Reservations) Cost(now time.Time) time.Duration {
	var sum time.Duration
	for id, res := range r.active {
		if now.After(res.expires) {
			delete(r.active, id)
			continue
		}
		sum += res.cost
	}
	return sum
}
