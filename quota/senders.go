package quota

import (
	"math"
	"slices"
	"time"
)

// sender is another process that tells of what it let in, or one that tells of
// another group of them.
type sender struct {
	name  string
	heard time.Time
	// offset is the least that its news took, by the difference of the clocks; late is how
	// much longer the last took.
	offset time.Duration
	late   time.Duration
	// whole is set where it started after this process: all that it tells of was let in
	// since this process counts.
	whole bool
	// group is set where it speaks for another group, count is for how many processes.
	group bool
	count int
	// patience is for how long it counts as heard.
	patience time.Duration
}

// Figures of hearing.
const (
	// peerPatience is for how long a process counts as heard: four pulses of a full
	// group. After it, its part of the limit is left to it.
	peerPatience = 600 * time.Millisecond
	// groupPatience is the same of another group, whose news takes two pulses and a
	// digest, at times at half the pace.
	groupPatience = 1500 * time.Millisecond
	// senderKept is for how long what one told is remembered after it fell silent.
	senderKept = time.Minute
)

// fresh reports whether it is heard.
func (s *sender) fresh(now time.Time) bool {
	return now.Sub(s.heard) <= s.patience
}

// age returns how old what it told last is at least.
func (s *sender) age(now time.Time) time.Duration {
	return now.Sub(s.heard) + s.late
}

// arrived notes news that its sender sent when it had been running for up.
func (s *sender) arrived(up time.Duration, started, now time.Time) {
	took := now.Sub(started) - up
	if s.heard.IsZero() || took < s.offset {
		s.offset = took
	}
	s.heard, s.late = now, took-s.offset
}

// heardCount returns how many processes share what this one knows, itself included;
// the caller holds mu.
func (b *Limiter) heardCount(now time.Time) int {
	n := 1
	for _, s := range b.senders {
		if s.fresh(now) {
			n += s.count
		}
	}
	return n
}

// part returns which part of all limits is left to the processes that hear each other.
// Those that are not heard, but may be there, keep theirs. One whom the others do not
// count in any more has none by itself.
func (b *Limiter) part(now time.Time) float64 {
	heard := b.heardCount(now)
	expected := b.expected(now)
	if heard >= expected {
		return 1
	}
	part := float64(heard) / float64(expected)
	if part < minority && !b.leased() && !b.settling(now) {
		return 0
	}
	return part
}

// UsageReport is what a process, or a group of them, tells of one customer.
type UsageReport struct {
	// Customer is the hash of its name.
	Customer uint64
	// Total was let in since the sender's start, Demand asked lately.
	Total  float64
	Demand float64
	// Increase is the part of Total that was not told before.
	Increase float64
	// Level is what the sender knows to be left.
	Level float64
}

// UsageUpdate is what a process, or a group of them, tells of all customers.
type UsageUpdate struct {
	Sender string
	// Uptime is for how long the sender has been running.
	Uptime  time.Duration
	Reports []UsageReport
	// Processes is how many processes the sender speaks for.
	Processes int
}

// toldUse is what was told of an account.
type toldUse struct {
	total float64
	at    time.Time
	// again is set once the last change was told twice.
	again bool
	// refused is set where requests were refused since.
	refused bool
}

// Figures of telling.
const (
	// refusalsEvery is how often refusals alone are told: they change the demand.
	refusalsEvery = 100 * time.Millisecond
	// restEvery is when what is too little to be told at once is told, and when a word is
	// repeated that may be lost.
	restEvery = 400 * time.Millisecond
	// wordsMost bounds what one telling holds; what finds no room goes with the next.
	wordsMost = 256
)

// PeerUpdate returns what this process has to tell its peers now.
func (b *Limiter) PeerUpdate(now time.Time) UsageUpdate {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	out := UsageUpdate{Uptime: now.Sub(b.start), Processes: b.heardCount(now)}
	for id, a := range b.accounts {
		before := a.told.total
		if len(out.Reports) < wordsMost && b.due(a, &a.told, a.own, now) {
			b.refresh(a, now)
			out.Reports = append(out.Reports, UsageReport{Customer: id, Total: a.own, Increase: a.own - before, Demand: a.demand, Level: a.level})
		}
	}
	return out
}

// FullUpdate returns the same of all customers that were active lately, for a process that is
// new.
func (b *Limiter) FullUpdate(now time.Time) UsageUpdate {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := UsageUpdate{Uptime: now.Sub(b.start), Processes: b.heardCount(now)}
	for id, a := range b.accounts {
		if len(out.Reports) == wordsMost {
			break
		}
		b.refresh(a, now)
		out.Reports = append(out.Reports, UsageReport{Customer: id, Total: a.own, Demand: a.demand, Level: a.level})
	}
	return out
}

// due reports whether an account's total is to be told now, and notes it as told. What
// all processes together leave untold stays within half of the margin that covers what
// is not heard.
func (b *Limiter) due(a *account, t *toldUse, total float64, now time.Time) bool {
	since := now.Sub(t.at)
	unsaid := math.Abs(total - t.total)
	most := b.held(a) / 2 / float64(max(1, b.members))
	switch {
	case unsaid > most, unsaid > 0 && since >= restEvery, t.refused && since >= refusalsEvery:
		*t = toldUse{total: total, at: now}
		return true
	case !t.at.IsZero() && !t.again && since >= restEvery:
		t.at, t.again = now, true
		return true
	}
	return false
}

// ApplyPeerUpdate takes what a peer tells.
func (b *Limiter) ApplyPeerUpdate(n UsageUpdate, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.peers[n.Sender]
	if s == nil {
		s = &sender{name: n.Sender, patience: peerPatience, whole: n.Uptime < now.Sub(b.start)}
		b.peers[n.Sender] = s
		b.senders = append(b.senders, s)
	}
	s.count = 1
	b.hear(s, n, now)
}

// hear takes what a sender tells of customers. What one tells that was not heard for a
// while was let in by its own part of the limit, which was left to it.
func (b *Limiter) hear(s *sender, n UsageUpdate, now time.Time) {
	if !s.heard.IsZero() && !s.fresh(now) {
		b.apart(s)
	}
	s.arrived(n.Uptime, b.start, now)
	part := b.part(now)
	for _, w := range n.Reports {
		a := b.accounts[w.Customer]
		if a == nil {
			continue
		}
		a.refill(part, now)
		b.adopt(a, n, w, now)
		a.hear(s, w, now)
	}
}

// apart notes that a sender was silent.
func (b *Limiter) apart(s *sender) {
	s.whole = false
	for _, a := range b.accounts {
		if u := a.others[s]; u != nil {
			u.apart = true
		}
	}
}

// hear takes what a sender tells of one customer.
func (a *account) hear(s *sender, w UsageReport, now time.Time) {
	u := a.others[s]
	if u == nil {
		// Of one that was there before, what it told earlier was heard by others.
		u = &use{}
		if !s.whole {
			u.total = w.Total - w.Increase
		}
		a.others[s] = u
	}
	if !u.apart {
		added := w.Total - u.total
		a.spend(added)
		if !s.group {
			a.group += added
		}
	}
	*u = use{total: w.Total, demand: w.Demand, at: now}
}

// adopt takes the level of a process that has been there for long where this one has
// just started.
func (b *Limiter) adopt(a *account, n UsageUpdate, w UsageReport, now time.Time) {
	if a.adopted || n.Uptime < settled {
		return
	}
	a.adopted = true
	if b.settling(now) {
		a.level = min(a.limit.Burst, w.Level)
	}
}

// forget forgets those that fell silent long ago.
func (b *Limiter) forget(now time.Time) {
	for name, s := range b.peers {
		if now.Sub(s.heard) > senderKept {
			delete(b.peers, name)
			b.drop(s)
		}
	}
}

// drop forgets what a sender told.
func (b *Limiter) drop(s *sender) {
	b.senders = slices.DeleteFunc(b.senders, func(other *sender) bool { return other == s })
	for _, a := range b.accounts {
		delete(a.others, s)
	}
}
