package rollout

import (
	"context"
	"errors"
	"sync"

	"github.com/sirupsen/logrus"

	"acaciakeel/lease"
	"acaciakeel/store"
)

// Seat is the office of giving orders: one key of the platform's store that
// hangs on its holder's lease. The key's revision is the fence.
type Seat struct {
	store   store.Store
	session *lease.Session
	key     string
	name    string
	log     logrus.FieldLogger

	mu    sync.Mutex
	fence int64
	under store.LeaseID
	// taken is set while the key is known to be there.
	taken bool
	// seeking is set while a try to take it is under way.
	seeking bool
}

// NewSeat returns the seat at key for the process that name names in this start.
func NewSeat(s store.Store, session *lease.Session, key, name string, log logrus.FieldLogger) *Seat {
	return &Seat{store: s, session: session, key: key, name: name, log: log}
}

// Held implements Office.
func (s *Seat) Held() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.fence != 0 && s.under == s.session.ID() && s.session.Valid()
	return s.fence, held
}

// Seen notes what the store says of the key; an empty value is its absence.
func (s *Seat) Seen(value string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken = value != ""
	if value != s.name || revision != s.fence {
		s.fence = 0
	}
}

// Seek tries to take the seat if it is free.
func (s *Seat) Seek(ctx context.Context) bool {
	s.mu.Lock()
	lease := s.session.ID()
	if s.taken || s.seeking || lease == "" {
		s.mu.Unlock()
		return false
	}
	s.seeking = true
	s.mu.Unlock()
	fence, err := s.take(ctx, lease)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeking = false
	if errors.Is(err, store.ErrConflict) {
		s.taken = true
	}
	if err != nil {
		return false
	}
	s.taken, s.fence, s.under = true, fence, lease
	s.log.WithFields(logrus.Fields{"event": "seat_taken", "fence": fence}).Info("this process gives the orders now")
	return true
}

func (s *Seat) take(ctx context.Context, lease store.LeaseID) (int64, error) {
	fence, err := s.store.Put(ctx, s.key, []byte(s.name), 0, lease)
	if err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnavailable) {
		return fence, err
	}
	// The answer was lost; the key tells whether the call was carried out.
	entry, readErr := s.store.Get(ctx, s.key)
	if readErr == nil && string(entry.Value) == s.name {
		return entry.Revision, nil
	}
	return 0, err
}
