package forecast

import "time"

// Figures of loads of weights.
const (
	// firstShare is the part of a model's runners that load at the same time
	// until something is known of how many do so at full speed.
	firstShare = 1.0 / 6
	// firstLoad is taken for the time of a load until one was seen: the order of
	// the engines of today.
	firstLoad = time.Second
	// slowed is from how many times the shortest load on one counts as slowed
	// down by those beside it: less is noise of the questions that time it.
	slowed = 1.25
	// widthStep is the part of the difference by which one load moves the width.
	widthStep = 0.4
	// widthRise is by how much loads at full speed raise the width, to find out
	// whether more of them do as well.
	widthRise = 0.25
	// widthAgain is the same once a width was seen that is too much.
	widthAgain = 0.05
	// ceilingFades is the part by which the width at which loads were slowed is
	// forgotten with each load at full speed: the platform may have changed.
	ceilingFades = 0.005
	// aloneRise is the part of the difference by which a longer load that none
	// was beside raises the time of a load: new engines may take longer.
	aloneRise = 0.3
	// turnaround is the time of an order that is none of its load: until the
	// runner has ended its runs, and until the end of the load is known, which a
	// report tells some hundred milliseconds late. 0.5 to 0.7 s on all engines met.
	turnaround = 600 * time.Millisecond
)

// Loads is what is known of loads of weights: how long one takes, and how many
// runners load at the same time without slowing each other down. More of them end
// no sooner, and each is out of service for longer: four at once where two load at
// full speed kept each runner out for 4.2 s in place of 2.3, and a third more of
// the fleet. Its zero value knows nothing.
type Loads struct {
	// Alone is the time of a load that nothing slows down; 0 until one was seen.
	Alone time.Duration
	// Width is how many load at once at full speed, as far as known; Ceiling
	// bounds it where more were seen to slow each other down.
	Width   float64
	Ceiling float64
	// Seen counts the loads that this rests on, by whichever process.
	Seen int
}

// Loaded takes a load that ended so long after its order, and took so long since
// the runner had no runs, as far as known, beside others of a service with n
// runners: beside is the most orders, with itself, that went on meanwhile. Of the
// orders, those of idle runners tell the time of a load; the other time may be too
// short, and then only hides that a load was slowed down.
func (l *Loads) Loaded(ordered, took time.Duration, beside, n int) {
	if took <= 0 || beside <= 0 {
		return
	}
	l.Seen++
	l.Width = l.width(n)
	if l.Alone == 0 || ordered < l.Alone {
		l.Alone = ordered
	}
	slow := took.Seconds() / l.Alone.Seconds()
	if slow > slowed && beside == 1 {
		l.Alone += time.Duration(aloneRise * float64(took-l.Alone))
		l.Ceiling = 0
		return
	}
	if slow > slowed {
		l.Ceiling = max(1, float64(beside)/slow)
		l.Width += widthStep * (l.Ceiling - l.Width)
		return
	}
	l.Ceiling *= 1 + ceilingFades
	switch {
	case l.Ceiling > 0:
		l.Width = min(l.Width+widthAgain, l.Ceiling+slowed-1)
	case float64(beside) > l.Width-1:
		l.Width += widthRise
	}
}

// AtOnce returns how many of n runners may have orders at the same time: so many
// that those of them that have ended their runs load at full speed, and no more,
// since each one more is out of service for nothing. Half of the runners stay in
// service.
func (l *Loads) AtOnce(n int) int {
	load := l.Load().Seconds()
	orders := l.width(n) * (turnaround.Seconds() + load) / load
	return max(1, min(int(orders), n/2))
}

func (l *Loads) width(n int) float64 {
	if l.Width > 0 {
		return l.Width
	}
	return max(2, firstShare*float64(n))
}

// Load returns the time of a load that nothing slows down.
func (l *Loads) Load() time.Duration {
	if l.Alone == 0 {
		return firstLoad
	}
	return l.Alone
}
