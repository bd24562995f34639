package fleet

import (
	"time"

	"acaciakeel/forecast"
	"acaciakeel/health"
	"acaciakeel/prefix"
)

// partLocations is where the shared parts of a prompt are assumed to be cached, under one
// version of the weights.
type partLocations struct {
	// targets are those that hold some of them.
	targets []partHolder
	// store is the address of the store that holds the most, zone its data centre, stored
	// how many tokens it holds.
	store  string
	zone   string
	stored int
}

// partHolder is a target that holds tokens of a prompt.
type partHolder struct {
	state  *targetState
	tokens int
}

// locateParts returns where a prompt's shared parts are cached, as far as this process
// knows, among the stores and those targets of order that have the given weights.
func (f *Fleet) locateParts(g *group, order []int32, model string, weights int64, chain prefix.Chain, now time.Time) partLocations {
	var h partLocations
	shared := sharedTokens(chain)
	if shared < minTransferTokens {
		return h
	}
	for _, i := range order {
		s := g.states[i]
		if s.version(model) != weights || s.unresponsive || s.health.State(now) != health.Live {
			continue
		}
		if tokens := min(s.cache.cachedTokens(chain), shared); tokens > 0 {
			h.targets = append(h.targets, partHolder{s, tokens})
		}
	}
	for address, k := range f.stores {
		if k.unresponsive {
			continue
		}
		if tokens := min(k.cache.cachedTokens(chain), shared); tokens > h.stored {
			h.store, h.zone, h.stored = address, k.zone, tokens
		}
	}
	return h
}

// fetch is a transfer of parts to a target before it prefills the rest of a prompt.
type fetch struct {
	source string
	// tokens is how many more tokens the source holds than the target.
	tokens   int
	transfer forecast.KVTransfer
}

// crossDataCentreFactor is how many times as long a transfer between data centres takes
// as one within a data centre (the platform's protocol).
const crossDataCentreFactor = 2

// bestFetch returns the transfer with which a target has a prompt prefilled soonest, or
// none if that is without a transfer. Both the transfer and the prefill of the rest
// count.
func (f *Fleet) bestFetch(locations partLocations, e *forecast.Estimator, s *targetState, cached, prompt int, now time.Time) fetch {
	best, cost := fetch{}, e.PrefillTime(prompt-cached, prompt, now)
	try := func(c fetch) {
		c.tokens -= cached
		if c.tokens < minTransferTokens {
			return
		}
		all := e.TransferTime(c.transfer, now) + e.PrefillTime(prompt-cached-c.tokens, prompt, now)
		if all < cost {
			best, cost = c, all
		}
	}
	for _, r := range locations.targets {
		if r.state != s {
			tokens := (r.tokens - cached) * transferFactor(r.state.target.Zone, s.target.Zone)
			try(fetch{r.state.target.Address, r.tokens, forecast.KVTransfer{FromTarget: tokens}})
		}
	}
	if locations.store != "" {
		try(fetch{locations.store, locations.stored, forecast.KVTransfer{FromStore: (locations.stored - cached) * transferFactor(locations.zone, s.target.Zone)}})
	}
	return best
}

func transferFactor(from, to string) int {
	if from == to {
		return 1
	}
	return crossDataCentreFactor
}
