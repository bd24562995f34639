package rollout

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
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
	// pause is how long a process that lost the seat leaves it to the others.
	pause time.Duration
	log   logrus.FieldLogger

	mu    sync.Mutex
	fence int64
	under store.LeaseID
	// taken is set while the key is known to be there.
	taken bool
	// seeking is set while a try to take it is under way.
	seeking bool
	// lost is when the seat was last lost.
	lost clock.Boot
}

// NewSeat returns the seat at key for the process that name names in this
// start. A process that lost it does not seek it for pause: two that take turns
// might each have orders on the way while the other gives some.
func NewSeat(s store.Store, session *lease.Session, key, name string, pause time.Duration, log logrus.FieldLogger) *Seat {
	return &Seat{store: s, session: session, key: key, name: name, pause: pause, log: log}
}

// Held implements Office.
func (s *Seat) Held() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.fence != 0 && s.under == s.session.ID() && s.session.Valid()
	return s.fence, held
}

// Seen notes what the store says of the key at a revision; an empty value is
// its absence. What is older than the seat's own taking says nothing of it: a
// listing may have been read before and arrive after.
func (s *Seat) Seen(value string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.fence {
		return
	}
	s.taken = value != ""
	if value == s.name && s.fence == 0 && s.under != "" {
		// A write whose outcome was unknown was carried out after all. Left
		// alone, the seat would stay with a process that does not know of it.
		s.adopt(revision)
		return
	}
	if s.fence != 0 && (value != s.name || revision != s.fence) {
		s.fence = 0
		s.lost = clock.Now()
		s.log.WithField("event", "seat_lost").Warn("another process may give the orders now")
	}
}

// Seek tries to take the seat if it is free.
func (s *Seat) Seek(ctx context.Context) bool {
	s.mu.Lock()
	lease := s.session.ID()
	if s.taken || s.seeking || lease == "" || (s.lost != 0 && s.lost.Since() < s.pause) {
		s.mu.Unlock()
		return false
	}
	s.seeking = true
	s.under = lease
	s.mu.Unlock()
	fence, err := s.take(ctx, lease)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeking = false
	if errors.Is(err, store.ErrConflict) {
		s.taken = true
	}
	if err != nil || s.fence != 0 {
		return s.fence != 0
	}
	s.adopt(fence)
	return true
}

// adopt notes that the seat is held under a fence; the caller holds mu.
func (s *Seat) adopt(fence int64) {
	s.taken, s.fence = true, fence
	s.log.WithFields(logrus.Fields{"event": "seat_taken", "fence": fence}).Info("this process gives the orders now")
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
