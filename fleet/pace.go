package fleet

import "time"

// Pace is how long work takes at a target, relative to its service.
type Pace struct {
	// Duration is the lasting ratio, the inverse of the target's speed; Slowdown is the
	// current ratio to that.
	Duration float64
	Slowdown float64
}

// usualPace is the pace of a target of which nothing is known.
var usualPace = Pace{Duration: 1, Slowdown: 1}

// Speed returns the target's lasting speed relative to its service.
func (p Pace) Speed() float64 { return 1 / p.Duration }

// Stretch returns how long work takes that starts now and would take usual at a target of
// the service's speed. A slowdown is assumed to end after slowdownTTL: a target that is slow
// for half a second must not be avoided by work of several seconds.
func (p Pace) Stretch(usual time.Duration) time.Duration {
	work := float64(usual) * p.Duration
	if slow := work * p.Slowdown; slow <= float64(slowdownTTL) {
		return time.Duration(slow)
	}
	return time.Duration(float64(slowdownTTL) + work - float64(slowdownTTL)/p.Slowdown)
}

// usual returns how long what took so long at the target would take at one of the service's
// speed. The slowdown of a moment says little about a run of seconds and is left out.
func (p Pace) usual(took time.Duration) time.Duration {
	return time.Duration(float64(took) / p.Duration)
}

// Pace returns an instance's pace, the usual one if it is not known.
func (f *Fleet) Pace(l Instance, now time.Time) Pace {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.lookup(l); s != nil {
		return f.pace(s, now)
	}
	return usualPace
}
