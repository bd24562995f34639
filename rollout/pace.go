package rollout

import "time"

// Figures of the pace.
const (
	// firstShare is the part of a model's runners that load at the same time
	// until something is known of how many do so at full speed.
	firstShare = 1.0 / 6
	// firstLoad is taken for the time of a load until one was seen.
	firstLoad = time.Second
	// slowed is from how many times the shortest load on one counts as slowed
	// down by those beside it: less is noise of the questions that time it.
	slowed = 1.25
	// paceStep is the part of the difference by which one load moves the pace.
	paceStep = 0.4
	// paceRise is by how much loads at full speed raise the pace, to find out
	// whether more of them do as well.
	paceRise = 0.1
	// ceilingFades is the part by which the pace at which loads were slowed is
	// forgotten with each load at full speed: the platform may have changed.
	ceilingFades = 0.005
	// aloneRise is the part of the difference by which a longer load raises the
	// time of a load: new engines may take longer.
	aloneRise = 0.02
	// firstEmptying is taken for the time to end runs until it was seen.
	firstEmptying = 300 * time.Millisecond
	// emptyingStep is the part of the difference by which one order moves it.
	emptyingStep = 0.2
)

// pace learns how many runners load weights at the same time without slowing
// each other down. More of them end no sooner, and each is out of service for
// longer: four at once where two load at full speed kept each runner out for 4.2 s
// in place of 2.3, and a third more of the fleet.
type pace struct {
	// alone is the time of a load that nothing slows down; 0 until one was seen.
	alone time.Duration
	// width is how many load at once at full speed, as far as known; ceiling
	// bounds it where more were seen to slow each other down.
	width   float64
	ceiling float64
	// emptying is how long runners take from their order until they have ended
	// their runs and load.
	emptying time.Duration
}

// loaded takes a load that took so long beside others: beside is how many loads,
// with itself, went on in the mean.
func (p *pace) loaded(took time.Duration, beside float64) {
	if took <= 0 || beside <= 0 {
		return
	}
	if p.alone == 0 || took < p.alone {
		p.alone = took
	}
	slow := took.Seconds() / p.alone.Seconds()
	if slow > slowed {
		p.alone += time.Duration(aloneRise * float64(took-p.alone))
		p.ceiling = max(1, beside/slow)
		p.width += paceStep * (p.ceiling - p.width)
		return
	}
	p.ceiling *= 1 + ceilingFades
	if beside > p.width-1 {
		p.width += paceRise
	}
	if p.ceiling > 0 {
		p.width = min(p.width, p.ceiling+slowed-1)
	}
}

// emptied takes how long a runner took to end its runs.
func (p *pace) emptied(took time.Duration) {
	if p.emptying == 0 {
		p.emptying = firstEmptying
	}
	p.emptying += time.Duration(emptyingStep * float64(took-p.emptying))
}

// atOnce returns how many of n runners are out of service for new weights at the
// same time, where ending of those that load are about to end. Half of the
// runners stay in service.
func (p *pace) atOnce(n, ending int) int {
	if p.width == 0 {
		p.width = max(2, firstShare*float64(n))
	}
	return max(1, min(p.full()+ending, n/2))
}

// full returns how many load at the same time at full speed.
func (p *pace) full() int {
	return max(1, int(p.width+0.5))
}

// expected returns how long a load that begins as one of beside takes.
func (p *pace) expected(beside int) time.Duration {
	return p.load() * time.Duration(max(beside, p.full())) / time.Duration(p.full())
}

// lead returns how long before the end of a load the next runner gets its order,
// to have ended its runs by then.
func (p *pace) lead() time.Duration {
	if p.emptying == 0 {
		return firstEmptying
	}
	return min(p.emptying, p.load())
}

// load returns the time of a load that nothing slows down.
func (p *pace) load() time.Duration {
	if p.alone == 0 {
		return firstLoad
	}
	return p.alone
}
