package router

import (
	"sync"
	"time"
)

// serviceTimesWindow is for how long an attempt counts at least, and at most twice as long: a service
// that was slow a minute ago may not be so now.
const serviceTimesWindow = 30 * time.Second

// serviceTimes holds how long targets took for the requests of each route, from the send to the end
// of the response.
type serviceTimes struct {
	mu     sync.Mutex
	routes map[string]*serviceTime
}

// serviceTime is how long targets took for the requests of one route.
type serviceTime struct {
	// mean is smoothed over about eight attempts.
	mean time.Duration
	// longest is the longest time since begun, former that of the window before.
	longest, former time.Duration
	begun           time.Time
}

func newServiceTimes() *serviceTimes {
	return &serviceTimes{routes: map[string]*serviceTime{}}
}

// record records an attempt that ended at now.
func (s *serviceTimes) record(route string, took time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.routes[route]
	if t == nil {
		t = &serviceTime{mean: took, begun: now}
		s.routes[route] = t
	}
	t.age(now)
	t.mean += (took - t.mean) / 8
	t.longest = max(t.longest, took)
}

// age moves on to the window of now.
func (t *serviceTime) age(now time.Time) {
	switch elapsed := now.Sub(t.begun); {
	case elapsed >= 2*serviceTimesWindow:
		t.longest, t.former, t.begun = 0, 0, now
	case elapsed >= serviceTimesWindow:
		t.longest, t.former, t.begun = 0, t.longest, t.begun.Add(serviceTimesWindow)
	}
}

// of returns the mean and the longest time of recent attempts of a route; ok is false if there were
// none.
func (s *serviceTimes) of(route string, now time.Time) (mean, longest time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.routes[route]
	if t == nil {
		return 0, 0, false
	}
	t.age(now)
	longest = max(t.longest, t.former)
	return t.mean, longest, longest > 0
}
