package forecast

import "time"

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
func (e *Engine) Word(service string) (w Word, ok bool) {
	return Word{Service: service, Sums: e.own, Runs: e.runs, Loads: e.Loads, Mix: e.mix}, e.own.Weight > 0 || e.Loads.Seen > 0
}

// Heard takes another process's word in place of the one before it.
func (e *Engine) Heard(sender string, w Word, now time.Time) {
	e.others[sender] = heard{sums: w.Sums, runs: w.Runs, mix: w.Mix, at: now}
	if w.Loads.Seen > e.Loads.Seen {
		// The one that gives the orders knows most; who does so next goes on from there.
		e.Loads = w.Loads
	}
	e.stale = true
}
