package quota

import "time"

// GroupUpdate returns what this process's group has to tell another one.
func (b *Limiter) GroupUpdate(to int, now time.Time) UsageUpdate {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.meetGroup(to, now)
	out := UsageUpdate{Uptime: now.Sub(b.start), Processes: 1}
	for _, s := range b.peers {
		if s.fresh(now) {
			out.Processes++
		}
	}
	for id, a := range b.accounts {
		t := a.toldTo(to)
		before := t.total
		if len(out.Reports) < wordsMost && b.due(a, t, a.group, now) {
			b.refresh(a, now)
			out.Reports = append(out.Reports, UsageReport{Customer: id, Total: a.group, Increase: a.group - before, Demand: a.groupDemand(now), Level: a.level})
		}
	}
	return out
}

// meetGroup notes that another group is told. One that is told anew gets what is let in
// from now on: what was before, its members know from others, or when they were in a group
// with this one.
func (b *Limiter) meetGroup(to int, now time.Time) {
	if now.Sub(b.toldFar[to]) > groupPatience {
		for _, a := range b.accounts {
			a.toldTo(to).total = a.group
		}
	}
	b.toldFar[to] = now
}

// ApplyGroupUpdate takes what a member of another group tells of it. Another member has
// counted from another moment on: what it tells first only sets where it begins.
func (b *Limiter) ApplyGroupUpdate(group int, n UsageUpdate, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.far[group]
	if s == nil || s.name != n.Sender {
		b.drop(s)
		s = &sender{name: n.Sender, group: true, patience: groupPatience}
		b.far[group] = s
		b.senders = append(b.senders, s)
	}
	s.count = n.Processes
	b.hear(s, n, now)
}

// toldTo returns what was told to another group.
func (a *account) toldTo(group int) *toldUse {
	if a.toldFar == nil {
		a.toldFar = map[int]*toldUse{}
	}
	t := a.toldFar[group]
	if t == nil {
		t = &toldUse{}
		a.toldFar[group] = t
	}
	return t
}
