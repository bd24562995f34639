package placement

// Filter reports whether a runner is a candidate.
type Filter func(r *Runner) bool

// NotDraining excludes runners that accept no new work.
func NotDraining(r *Runner) bool {
	return !r.Draining
}

// InRegion keeps the runners of one region; an empty region keeps all of them.
func InRegion(region string) Filter {
	return func(r *Runner) bool {
		return region == "" || r.Region == region
	}
}

// Except excludes runners to which the request was already sent.
func Except(excluded []string) Filter {
	return func(r *Runner) bool {
		for _, name := range excluded {
			if r.Name == name {
				return false
			}
		}
		return true
	}
}

// Apply returns the indices of the runners that pass all filters. It reuses the memory
// of out.
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
