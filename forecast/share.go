package forecast

import (
	"strconv"
	"time"
)

// Word is what a process tells the others of one service's engines.
type Word struct {
	Service string
	Sums    Sums
	Runs    Ratio
	Loads   Loads
	Mix     Mix
}

// heardValid is for how long another process's word counts: until it should
// have come many times.
const heardValid = 10 * time.Second

// Word returns what this process observed itself; ok is false if that is nothing.
func (e *Engine) Word(service string, now time.Time) (w Word, ok bool) {
	return Word{Service: service, Sums: e.own, Runs: e.runs, Loads: e.Loads, Mix: e.settled(now)}, e.own.Weight > 0 || e.Loads.Seen > 0
}

// Heard takes another process's word in place of the one before it.
func (e *Engine) Heard(sender string, w Word, now time.Time) {
	e.hear(sender, w, heard{sums: w.Sums, runs: w.Runs, mix: w.Mix, at: now})
}

// HeardGroup takes the word of a group of processes in place of the one before it.
func (e *Engine) HeardGroup(group int, w Word, now time.Time) {
	e.hear("group "+strconv.Itoa(group), w, heard{sums: w.Sums, runs: w.Runs, mix: w.Mix, at: now, group: true})
}

// GroupWord returns what this process and the others that told it of theirs, but
// for other groups, observed together.
func (e *Engine) GroupWord(service string, now time.Time) (w Word, ok bool) {
	w, ok = e.Word(service, now)
	for _, h := range e.others {
		if h.group || now.Sub(h.at) > heardValid {
			continue
		}
		ok = true
		w.Sums.Merge(h.sums)
		w.Runs.add(h.runs)
		w.Mix.add(h.mix, fadeBy(now.Sub(h.at), mixMemory))
	}
	return w, ok
}

func (e *Engine) hear(sender string, w Word, h heard) {
	e.others[sender] = h
	if w.Loads.Seen > e.Loads.Seen {
		// The one that gives the orders knows most; who does so next goes on from there.
		e.Loads = w.Loads
	}
	e.stale = true
}
