package responsebuffer

import (
	"fmt"
	"sync"
)

// Reservation counts what a response occupies while it is read from its target, before any of it
// is passed on. It shares the limits of the pool with the responses that wait for their clients.
// The methods of a nil reservation do nothing.
type Reservation struct {
	pool    *Pool
	account account
	onAbort func()

	mu  sync.Mutex
	err error
}

// ReservationError is the error of a reservation that exceeded a limit.
type ReservationError struct {
	Reason Reason
	// Bytes is what the reservation held.
	Bytes int64
}

// Error implements error.
func (e *ReservationError) Error() string {
	return fmt.Sprintf("%d bytes of a response are over the limit (%s)", e.Bytes, e.Reason)
}

// Reserve returns an empty reservation. onAbort is called if another response exceeds the limit of
// all and this reservation is the one that is given up: its bytes no longer count, and must be
// freed. It must not block. A nil pool limits nothing.
func (p *Pool) Reserve(onAbort func()) *Reservation {
	if p == nil {
		return nil
	}
	r := &Reservation{pool: p, onAbort: onAbort}
	r.account.owner = r
	return r
}

// Grow counts n bytes that are about to be allocated. It returns a *ReservationError if the
// reservation has been given up.
func (r *Reservation) Grow(n int64) error {
	if r == nil || r.pool.add(&r.account, n) {
		return nil
	}
	return r.Err()
}

// Shrink subtracts n bytes that have been freed or passed on.
func (r *Reservation) Shrink(n int64) {
	if r != nil {
		r.pool.remove(&r.account, n)
	}
}

// Release subtracts all that is left.
func (r *Reservation) Release() {
	if r != nil {
		r.pool.release(&r.account)
	}
}

// Err returns a *ReservationError if the reservation has been given up, otherwise nil.
func (r *Reservation) Err() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

func (r *Reservation) abort(reason Reason, held int64) {
	r.mu.Lock()
	first := r.err == nil
	if first {
		r.err = &ReservationError{Reason: reason, Bytes: held}
	}
	r.mu.Unlock()
	if first {
		r.onAbort()
	}
}
