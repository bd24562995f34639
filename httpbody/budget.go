package httpbody

import (
	"errors"
	"io"
	"sync"
)

// ErrNoRoom is returned for a body for which the bodies of other requests leave no memory.
var ErrNoRoom = errors.New("the bodies of other requests take the memory")

// largestShare is the divisor of a budget that gives its largest body: a body may take as much as
// it leaves free.
const largestShare = 2

// firstBuffer is the size of the first buffer of a body, in bytes. Later ones double, so that what is
// counted of a body follows what has arrived of it and not what its header states.
const firstBuffer = 16 << 10

// Budget bounds the memory that the bodies of a process's requests occupy together. A body may grow
// as long as it leaves as much free as it takes itself (the dynamic threshold of shared-memory
// switches, Choudhury and Hahne 1998): large bodies alone never take the room of small ones. It is
// safe for concurrent use.
type Budget struct {
	total int64

	mu      sync.Mutex
	held    int64
	refused int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(total int64) *Budget { return &Budget{total: total} }

// Held returns how many bytes are counted now.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Refused returns for how many bodies there was no room so far.
func (b *Budget) Refused() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// Largest returns the size in bytes of the largest body that the budget holds while there is no other.
func (b *Budget) Largest() int64 { return b.total / largestShare }

// fits reports whether a body that holds own bytes may have size. The caller holds mu.
func (b *Budget) fits(size, own int64) bool {
	return size <= (b.total-(b.held-own))/largestShare
}

// Reserve returns an empty reservation, for one body.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Reservation counts the memory of one body.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Release subtracts the body, which must not be used any more.
func (r *Reservation) Release() { _ = r.resize(0) }

func (r *Reservation) resize(size int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if size > r.bytes && !b.fits(size, r.bytes) {
		b.refused++
		return false
	}
	b.held += size - r.bytes
	r.bytes = size
	return true
}

// Read reads a whole body of the given length, -1 if that isn't known. The error is ErrNoRoom if
// there is no room for it, before anything is read where the length is known, and ErrTooLarge if
// there never would be. After an error nothing is counted any more.
func (r *Reservation) Read(in io.Reader, length int64) ([]byte, error) {
	body, err := r.read(in, length)
	if err != nil {
		r.Release()
		return nil, err
	}
	return body, nil
}

func (r *Reservation) read(in io.Reader, length int64) ([]byte, error) {
	largest := r.budget.Largest()
	if length > largest {
		return nil, tooLarge(largest)
	}
	// What is stated is not counted before it has arrived, but a body that has no room now is refused
	// at once.
	if !r.resize(max(0, length)) {
		return nil, ErrNoRoom
	}
	limit := largest
	if length >= 0 {
		// One byte more, to read the end of the body.
		limit = min(limit, length+1)
	}
	var body []byte
	for size := int64(firstBuffer); ; size *= 2 {
		size = min(size, limit)
		if !r.resize(size) {
			return nil, ErrNoRoom
		}
		larger := make([]byte, len(body), size)
		copy(larger, body)
		var err error
		body, err = fill(in, larger)
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		case size == limit:
			return nil, tooLarge(limit)
		}
	}
}

// fill reads into a buffer until it is full or reading fails.
func fill(in io.Reader, buffer []byte) ([]byte, error) {
	for len(buffer) < cap(buffer) {
		n, err := in.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err != nil {
			return buffer, err
		}
	}
	return buffer, nil
}
