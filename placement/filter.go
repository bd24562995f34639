package placement

// Filter reports whether a runner may be asked.
type Filter func(r *Runner) bool

// NotDraining leaves out runners that take no new work.
func NotDraining(r *Runner) bool {
	return !r.Draining
}

// InRegion keeps the runners of one region; an empty region keeps all.
func InRegion(region string) Filter {
	return func(r *Runner) bool {
		return region == "" || r.Region == region
	}
}

// Except leaves out runners that were tried for this request already.
func Except(tried []string) Filter {
	return func(r *Runner) bool {
		for _, name := range tried {
			if r.Name == name {
				return false
			}
		}
		return true
	}
}

// Apply returns the indices of the runners that pass every filter, in out.
func Apply(runners []Runner, out []int32, filters ...Filter) []int32 {
	out = out[:0]
	for i := range runners {
		if passes(&runners[i], filters) {
			out = append(out, int32(i))
		}
	}
	return out
}

func passes(r *Runner, filters []Filter) bool {
	for _, keep := range filters {
		if !keep(r) {
			return false
		}
	}
	return true
}
