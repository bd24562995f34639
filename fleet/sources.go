package fleet

import (
	"time"

	"acaciakeel/forecast"
	"acaciakeel/health"
	"acaciakeel/prefix"
)

// holding is where the shared parts of a prompt are believed to be, under one
// version of the weights.
type holding struct {
	// runners are those that hold some of them.
	runners []held
	// store is the address of the store that holds the most, stored how much.
	store  string
	zone   string
	stored int
}

// held is one runner that holds tokens of a prompt.
type held struct {
	state  *state
	tokens int
}

// holdingOf returns where a prompt's shared parts are, as far as this process
// knows: of the runners at order those with weights.
func (f *Fleet) holdingOf(g *group, order []int32, model string, weights int64, chain prefix.Chain, now time.Time) holding {
	var h holding
	shared := sharedTokens(chain)
	if shared < movedLeast {
		return h
	}
	for _, i := range order {
		s := g.states[i]
		if s.version(model) != weights || s.silent || s.health.State(now) != health.Live {
			continue
		}
		if tokens := min(s.cache.tokens(chain), shared); tokens > 0 {
			h.runners = append(h.runners, held{s, tokens})
		}
	}
	for address, k := range f.stores {
		if k.silent {
			continue
		}
		if tokens := min(k.cache.tokens(chain), shared); tokens > h.stored {
			h.store, h.zone, h.stored = address, k.zone, tokens
		}
	}
	return h
}

// fetch is a transfer of parts to a runner before it reads the rest of a prompt.
type fetch struct {
	source string
	// tokens is how many more the source holds than the runner.
	tokens int
	moved  forecast.KVTransfer
}

// zoneFactor is how many times as long a transfer between zones takes as one
// within a zone (the platform's protocol).
const zoneFactor = 2

// bestFetch returns the transfer that leaves a runner with the least to wait for,
// or none: reading a token takes an engine read, and moving it what was learnt.
func (f *Fleet) bestFetch(h holding, e *forecast.Estimator, s *state, cached, prompt int, now time.Time) fetch {
	best, cost := fetch{}, e.PrefillTime(prompt-cached, prompt, now)
	try := func(c fetch) {
		c.tokens -= cached
		if c.tokens < movedLeast {
			return
		}
		all := e.TransferTime(c.moved, now) + e.PrefillTime(prompt-cached-c.tokens, prompt, now)
		if all < cost {
			best, cost = c, all
		}
	}
	for _, r := range h.runners {
		if r.state != s {
			moved := (r.tokens - cached) * factor(r.state.runner.Zone, s.runner.Zone)
			try(fetch{r.state.runner.Address, r.tokens, forecast.KVTransfer{FromTarget: moved}})
		}
	}
	if h.store != "" {
		try(fetch{h.store, h.stored, forecast.KVTransfer{FromStore: (h.stored - cached) * factor(h.zone, s.runner.Zone)}})
	}
	return best
}

func factor(from, to string) int {
	if from == to {
		return 1
	}
	return zoneFactor
}
