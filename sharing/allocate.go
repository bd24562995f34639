package sharing

import "math"

// Classes is the number of priority classes.
const Classes = 6

// guaranteeShare is the fraction of the common rate, the share of all requests that can be
// served, that every class and customer gets at the least. Half is required; the rest
// covers the errors of the totals.
const guaranteeShare = 0.55

const (
	// guaranteeTolerance is the relative change of the guarantee below which it is not raised
	// further; the margin of guaranteeShare is larger.
	guaranteeTolerance = 0.001
	// maxGuaranteeRounds bounds how often the guarantee is raised, from guaranteeShare of the
	// common rate to all of it at the most.
	maxGuaranteeRounds = 32
)

// customerDemand is the demand of one customer, or of all that are not listed, in one
// class, in seconds of target time per second.
type customerDemand struct {
	total  *total
	demand float64
	// weight is how many customers it stands for.
	weight float64
}

// classDemand is the demand of one class.
type classDemand struct {
	customers []customerDemand
	demand    float64
	// slot and prefill are the parts of the demand that are slot time and prefill time;
	// they add up to 1.
	slot, prefill float64
	// cost is the mean target time of a request in seconds.
	cost float64
	// level is the target time per second that a customer gets at most, unless its
	// guarantee is more.
	level float64
}

// allocate sets the level of each class and returns the guaranteed fraction. capacity is the
// number of targets: their slots provide as many seconds of slot time per second, and their
// engines as many of prefill. contended is false if the demand does not exceed it.
//
// Each class and customer first gets the guaranteed fraction of its demand. What is left is
// given out in the order of classes, and within a class by max-min fairness: no customer
// gets more by taking from one that has less.
func allocate(classes *[Classes]classDemand, capacity float64) (guarantee float64, contended bool) {
	slot, prefill := 0.0, 0.0
	for i := range classes {
		slot += classes[i].demand * classes[i].slot
		prefill += classes[i].demand * classes[i].prefill
	}
	common := 1.0
	if slot > 0 {
		common = min(common, capacity/slot)
	}
	if prefill > 0 {
		common = min(common, capacity/prefill)
	}
	if common >= 1 {
		return 1, false
	}
	// Urgent requests that take little target time raise the share of requests that are
	// served above common, so the guarantee is raised until it is a part of that share.
	guarantee = guaranteeShare * common
	for range maxGuaranteeRounds {
		distribute(classes, guarantee, capacity-guarantee*slot, capacity-guarantee*prefill)
		required := min(common, guaranteeShare*servedShare(classes, guarantee))
		if required <= guarantee {
			break
		}
		settled := required < guarantee*(1+guaranteeTolerance)
		if guarantee = required; settled {
			break
		}
	}
	distribute(classes, guarantee, capacity-guarantee*slot, capacity-guarantee*prefill)
	return guarantee, true
}

// distribute sets the levels for the slot time and prefill time that are left after the
// guarantees.
func distribute(classes *[Classes]classDemand, guarantee, slot, prefill float64) {
	for i := range classes {
		c := &classes[i]
		extra := (1 - guarantee) * c.demand
		if c.slot > 0 {
			extra = min(extra, max(0, slot)/c.slot)
		}
		if c.prefill > 0 {
			extra = min(extra, max(0, prefill)/c.prefill)
		}
		c.setLevel(guarantee, extra)
		slot -= extra * c.slot
		prefill -= extra * c.prefill
	}
}

// levelSteps is the number of bisections by which a level is found: to a billionth of the
// largest demand.
const levelSteps = 32

// setLevel sets the level at which the customers get the given extra time beyond their
// guarantees.
func (c *classDemand) setLevel(guarantee, extra float64) {
	if extra >= (1-guarantee)*c.demand {
		c.level = math.Inf(1)
		return
	}
	if extra <= 0 {
		c.level = 0
		return
	}
	low, high := 0.0, 0.0
	for _, d := range c.customers {
		high = max(high, d.demand/d.weight)
	}
	for range levelSteps {
		middle := (low + high) / 2
		sum := 0.0
		for i := range c.customers {
			d := &c.customers[i]
			sum += max(0, min(d.demand, middle*d.weight)-guarantee*d.demand)
		}
		if sum > extra {
			high = middle
		} else {
			low = middle
		}
	}
	c.level = low
}

// fraction returns the part of the demand that is admitted at a level.
func (d customerDemand) fraction(guarantee, level float64) float64 {
	if d.demand <= 0 {
		return 1
	}
	return max(guarantee, min(1, level*d.weight/d.demand))
}

// servedShare returns the share of all requests that is admitted at the levels set.
func servedShare(classes *[Classes]classDemand, guarantee float64) float64 {
	served, asked := 0.0, 0.0
	for i := range classes {
		c := &classes[i]
		if c.cost <= 0 {
			continue
		}
		for _, d := range c.customers {
			served += d.fraction(guarantee, c.level) * d.demand / c.cost
			asked += d.demand / c.cost
		}
	}
	if asked <= 0 {
		return 1
	}
	return served / asked
}
