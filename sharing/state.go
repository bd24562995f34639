package sharing

import (
	"slices"
	"time"
)

// ClassShare is the target time that the requests of a class ask for and get, as a part of
// what the usable targets have.
type ClassShare struct {
	Service         string
	Class           int
	Asked, Admitted float64
}

// Shares returns the shares of the classes with demand, sorted by service and class.
func (s *Sharer) Shares(now time.Time) []ClassShare {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ClassShare
	for name, svc := range s.services {
		shares := [Classes]ClassShare{}
		for k, t := range svc.totals {
			shares[k.class].Asked += t.demand(now)
			shares[k.class].Admitted += t.admittedTime(now)
		}
		for class, share := range shares {
			if capacity := svc.capacity(); share.Asked > minDemand && capacity > 0 {
				out = append(out, ClassShare{Service: name, Class: class, Asked: share.Asked / capacity, Admitted: share.Admitted / capacity})
			}
		}
	}
	slices.SortFunc(out, func(a, b ClassShare) int {
		if a.Service != b.Service {
			if a.Service < b.Service {
				return -1
			}
			return 1
		}
		return a.Class - b.Class
	})
	return out
}

// State is how the target time of a service is shared.
type State struct {
	Service string
	// Scarce is set while more is asked for than there is.
	Scarce bool
	// Targets is the number of usable targets, Part the part of them that the demand known
	// here may take, and Guarantee the fraction that every class and customer gets.
	Targets   float64
	Part      float64
	Guarantee float64
	// FirstClass and FirstCustomer have the most admitted target time of the most urgent
	// class with demand.
	FirstClass    int
	FirstCustomer string
	OldestTotal   time.Duration
}

// States returns how the target time of each service is shared.
func (s *Sharer) States(now time.Time) []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []State
	for name, svc := range s.services {
		first, _ := svc.first(Classes - 1)
		out = append(out, State{
			Service: name, Scarce: svc.contended, Targets: svc.capacity(), Part: s.part(), Guarantee: svc.guarantee,
			FirstClass: int(first.class), FirstCustomer: s.customerName(first.customer), OldestTotal: s.oldest(now),
		})
	}
	return out
}

// oldest returns the age of the oldest report of another entry.
func (s *Sharer) oldest(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, other := range s.senders {
		age = max(age, other.age(now))
	}
	return age
}
