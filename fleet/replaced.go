package fleet

import (
	"context"
	"sync"
	"time"
)

// HolderAnswer is the answer of whoever has an address to the question whether it is the target
// with an ID. The zero value tells nothing.
type HolderAnswer struct {
	// Accepted is set if it has that ID.
	Accepted bool
	// Named is the ID that it states where it refuses the question.
	Named string
}

// HolderAsker asks who has an address.
type HolderAsker interface {
	// AskHolder asks on a new connection whether the target at an address has an ID. An error
	// means that the answer tells nothing.
	AskHolder(ctx context.Context, address, id string) (HolderAnswer, error)
}

// holderOf returns the ID of the target that has an address, as far as two answers show it: first
// to the question for the ID that is meant, second to that for the ID named by first. It is empty
// if they show nothing. A target refuses each ID but its own, so a foreign response that is read
// as the answer to both questions contradicts itself.
func holderOf(meant string, first, second HolderAnswer) string {
	switch {
	case first.Accepted:
		return meant
	case first.Named == "" || first.Named == meant:
		return ""
	case second.Accepted:
		return first.Named
	case second.Named == meant:
		return meant
	}
	return ""
}

// Timing of the questions who has an address.
const (
	// holderInterval is the least time between two rounds of questions at one address,
	// maxHolderInterval the longest: rounds that show nothing are repeated ever less often.
	holderInterval    = 200 * time.Millisecond
	maxHolderInterval = 2 * time.Second
	// holderTimeout bounds one round.
	holderTimeout = 600 * time.Millisecond
	// holderTick is how often rounds are started.
	holderTick = 100 * time.Millisecond
	// maxHolderRounds is the number of rounds in progress.
	maxHolderRounds = 16
)

// replacementCheck finds out whether another target has the address of one whose call was refused
// in another's name. Responses to calls name no request, so that the refusal may be one of another
// call, or of another target.
type replacementCheck struct {
	instance  Instance
	address   string
	startedAt time.Time
	// rounds is the number of rounds that have ended, asking is set while one is in progress.
	rounds int
	asking bool
	askAt  time.Time
	// holder is the other target that the last round has shown to have the address; empty if it
	// has shown none.
	holder string
}

// record applies what a round has shown, and reports whether it settles who has the address: the
// target itself, or another one in two rounds in a row.
func (c *replacementCheck) record(holder string, now time.Time) (settled bool) {
	confirmed := holder != "" && (holder == c.instance.ID || holder == c.holder)
	interval := holderInterval
	if holder == "" {
		interval = min(holderInterval<<min(c.rounds, 8), maxHolderInterval)
	}
	c.asking, c.holder, c.askAt = false, holder, now.Add(interval)
	c.rounds++
	return confirmed
}

// SuspectReplaced records that a call of a target was refused in another's name.
func (f *Fleet) SuspectReplaced(l Instance, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isCurrent(l) {
		f.suspectReplaced(f.states[l.ID], now)
	}
}

// suspectReplaced starts a check unless there is one; the caller holds mu.
func (f *Fleet) suspectReplaced(s *targetState, now time.Time) {
	if c := f.replacementChecks[s.target.ID]; c == nil || !f.concerns(c, s) {
		f.replacementChecks[s.target.ID] = &replacementCheck{instance: s.target.Instance(), address: s.target.Address, startedAt: now, askAt: now}
	}
}

// concerns reports whether a check is about a target's present instance and address.
func (f *Fleet) concerns(c *replacementCheck, s *targetState) bool {
	return s != nil && s.target.Instance().Matches(c.instance) && s.target.Address == c.address
}

// dueReplacementChecks returns the checks of which a round is to start now.
func (f *Fleet) dueReplacementChecks(now time.Time) []*replacementCheck {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*replacementCheck
	for id, c := range f.replacementChecks {
		if !f.concerns(c, f.states[id]) {
			delete(f.replacementChecks, id)
			continue
		}
		if !c.asking && !now.Before(c.askAt) && f.holderRounds < maxHolderRounds {
			c.asking = true
			f.holderRounds++
			out = append(out, c)
		}
	}
	return out
}

// ReplacementResult is what the check of a target has shown.
type ReplacementResult struct {
	Target  Instance
	Address string
	// Holder is the ID of the target that has the address.
	Holder string
	// Rounds is the number of rounds of questions, Took the time since the first call that was
	// refused in another's name.
	Rounds int
	Took   time.Duration
}

// Replaced reports whether another target has the address, so that the checked one has ended.
func (r ReplacementResult) Replaced() bool { return r.Holder != r.Target.ID }

// recordHolder applies what a round has shown. A target whose address another one has is removed.
// settled is false while it is not known who has the address.
func (f *Fleet) recordHolder(c *replacementCheck, holder string, now time.Time) (result ReplacementResult, settled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holderRounds--
	s := f.states[c.instance.ID]
	if f.replacementChecks[c.instance.ID] != c || !f.concerns(c, s) {
		return ReplacementResult{}, false
	}
	if !c.record(holder, now) {
		return ReplacementResult{}, false
	}
	delete(f.replacementChecks, c.instance.ID)
	result = ReplacementResult{Target: s.target.Instance(), Address: c.address, Holder: holder, Rounds: c.rounds, Took: now.Sub(c.startedAt)}
	if result.Replaced() {
		f.removeEnded(s)
	}
	return result, true
}

// ReplacementChecker asks who has the addresses of targets whose calls were refused in another's
// name.
type ReplacementChecker struct {
	fleet    *Fleet
	asker    HolderAsker
	onResult func(ReplacementResult)
}

// NewReplacementChecker returns a checker that does nothing until Run is called. onResult is called
// with each check that is settled.
func NewReplacementChecker(f *Fleet, a HolderAsker, onResult func(ReplacementResult)) *ReplacementChecker {
	return &ReplacementChecker{fleet: f, asker: a, onResult: onResult}
}

// Run checks targets until ctx ends.
func (r *ReplacementChecker) Run(ctx context.Context) {
	var rounds sync.WaitGroup
	defer rounds.Wait()
	ticker := time.NewTicker(holderTick)
	defer ticker.Stop()
	for {
		for _, c := range r.fleet.dueReplacementChecks(time.Now()) {
			rounds.Go(func() { r.runRound(ctx, c) })
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *ReplacementChecker) runRound(ctx context.Context, c *replacementCheck) {
	holder := r.askHolder(ctx, c.address, c.instance.ID)
	if result, settled := r.fleet.recordHolder(c, holder, time.Now()); settled {
		r.onResult(result)
	}
}

// askHolder executes one round: it asks for the target that is meant and then for the one that the
// answer named. It returns the ID of the one that has the address, or nothing if that is not shown.
func (r *ReplacementChecker) askHolder(ctx context.Context, address, meant string) string {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	first, err := r.asker.AskHolder(ctx, address, meant)
	if err != nil {
		return ""
	}
	var second HolderAnswer
	if !first.Accepted && first.Named != "" && first.Named != meant {
		if second, err = r.asker.AskHolder(ctx, address, first.Named); err != nil {
			return ""
		}
	}
	return holderOf(meant, first, second)
}
