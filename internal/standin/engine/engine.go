package engine

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Truth is the engine's own count of its work since the process started.
type Truth struct {
	Requests         int64 `json:"requests"`
	PromptTokens     int64 `json:"prompt_tokens"`
	HitTokens        int64 `json:"hit_tokens"`
	ComputedTokens   int64 `json:"computed_tokens"`
	ImportedTokens   int64 `json:"imported_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	EventsMade       int64 `json:"events_made"`
}

// Load is the engine's load report.
type Load struct {
	BootID         string `json:"boot_id"`
	WeightsVersion string `json:"weights_version"`
	Build          string `json:"software_version,omitempty"`
	Loading        bool   `json:"loading"`
	Running        int    `json:"running"`
	Waiting        int    `json:"waiting"`
	// PrefillTokens is the prompt tokens still to be computed.
	PrefillTokens int    `json:"prefill_tokens"`
	Fence         uint64 `json:"fence"`
}

var (
	errAway   = errors.New("the engine is away or loading weights")
	errFence  = errors.New("the order has an old fencing number")
	errExists = errors.New("a sequence with this request id exists")
)

// Engine is one runner.
type Engine struct {
	config Config
	events *eventLog

	mu       sync.Mutex
	bootID   string
	version  string
	away     bool
	loading  bool
	fence    uint64
	arrivals uint64
	cache    *blockCache
	waiting  []*sequence
	running  []*sequence
	byID     map[string]*sequence
	truth    Truth
	computed map[uint64]struct{}
	// begun are the IDs of the sequences that produced a token.
	begun  map[string]bool
	report Load
	work   chan struct{}
}

// New returns an engine; Run must run for it to make progress.
func New(c Config) *Engine {
	e := &Engine{
		config:   c,
		events:   newEventLog(millis(c.EventDelayMS), c.EventLoss),
		version:  c.WeightsVersion,
		computed: map[uint64]struct{}{},
		begun:    map[string]bool{},
		work:     make(chan struct{}, 1),
	}
	e.boot()
	return e
}

func (e *Engine) boot() {
	e.bootID = uuid.NewString()
	e.cache = newBlockCache(e.config.CacheBlocks)
	e.waiting, e.running = nil, nil
	e.byID = map[string]*sequence{}
	e.events.reset()
	e.report = e.currentLoad()
}

func (e *Engine) submit(r completionRequest) (*sequence, string, string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.away || e.loading {
		return nil, "", "", errAway
	}
	if e.byID[r.RequestID] != nil {
		return nil, "", "", errExists
	}
	s := newSequence(r, e.version, e.config.BlockTokens)
	e.arrivals++
	s.arrival = e.arrivals
	e.byID[s.id] = s
	e.waiting = append(e.waiting, s)
	e.truth.Requests++
	e.truth.PromptTokens += int64(s.tokens)
	e.wakeLoop()
	return s, e.bootID, e.version, nil
}

func (e *Engine) wakeLoop() {
	select {
	case e.work <- struct{}{}:
	default:
	}
}

func (e *Engine) find(id string) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[id]
}

// Run steps the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	go e.sampleLoad(ctx)
	for ctx.Err() == nil {
		duration, busy := e.plan()
		if !busy {
			select {
			case <-e.work:
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(duration)
		e.apply()
	}
}

// plan admits waiting sequences and assigns this step's prefill.
func (e *Engine) plan() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drop()
	e.admit()
	if len(e.running) == 0 {
		return 0, false
	}
	budget := e.config.PieceTokens
	for _, s := range e.running {
		chunk := min(budget, s.tokens-s.prefilled)
		s.prefilled += chunk
		budget -= chunk
	}
	computed := e.config.PieceTokens - budget
	seconds := float64(computed) / e.config.PrefillRate
	return millis(e.config.StepMS) + time.Duration(seconds*float64(time.Second)), true
}

func (e *Engine) drop() {
	grace := millis(e.config.ResumeGraceMS)
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		if !s.givenUp(grace) {
			return false
		}
		e.cache.unpin(s.hashes[:s.stored])
		s.end(finishCanceled)
		return true
	})
	e.waiting = slices.DeleteFunc(e.waiting, func(s *sequence) bool {
		if !s.givenUp(grace) {
			return false
		}
		s.end(finishCanceled)
		return true
	})
}

func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
	})
	for len(e.waiting) > 0 && len(e.running) < e.config.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		matched := e.cache.match(s.hashes)
		e.cache.pin(s.hashes[:matched])
		s.stored = matched
		// The last token is always computed: its output is the first answer.
		s.cached = min(matched*e.config.BlockTokens, s.tokens-1)
		s.prefilled = s.cached
		e.truth.HitTokens += int64(s.cached)
		e.truth.ComputedTokens += int64(s.tokens - s.cached)
		e.running = append(e.running, s)
	}
}

// apply stores the blocks that the step computed and emits its tokens.
func (e *Engine) apply() {
	e.mu.Lock()
	defer e.mu.Unlock()
	still := e.running[:0]
	for _, s := range e.running {
		e.storeBlocks(s)
		if s.inPrefill() {
			still = append(still, s)
			continue
		}
		e.truth.CompletionTokens++
		e.begun[s.id] = true
		if s.emit() {
			e.cache.unpin(s.hashes[:s.stored])
			e.forgetLater(s)
			continue
		}
		still = append(still, s)
	}
	e.running = still
}

// storeBlocks caches the blocks of s that are computed by now.
func (e *Engine) storeBlocks(s *sequence) {
	full := min(s.prefilled/e.config.BlockTokens, len(s.hashes))
	if full <= s.stored {
		return
	}
	event := CacheEvent{BootID: e.bootID, Parent: s.parentOf(s.stored)}
	for i := s.stored; i < full; i++ {
		ok, isNew, evicted := e.cache.store(s.hashes[i], s.parentOf(i))
		if !ok {
			break
		}
		s.stored = i + 1
		e.computed[s.hashes[i]] = struct{}{}
		if evicted != 0 {
			event.Removed = append(event.Removed, evicted)
		}
		if isNew || len(event.Stored) > 0 {
			event.Stored = append(event.Stored, s.hashes[i])
		} else {
			event.Parent = s.hashes[i]
		}
	}
	if len(event.Stored)+len(event.Removed) > 0 {
		e.truth.EventsMade += int64(len(event.Stored) + len(event.Removed))
		e.events.add(event)
	}
}

// finishedKept is how long a finished sequence can still be read.
const finishedKept = 5 * time.Second

func (e *Engine) forgetLater(s *sequence) {
	time.AfterFunc(finishedKept, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.byID[s.id] == s {
			delete(e.byID, s.id)
		}
	})
}

func (e *Engine) currentLoad() Load {
	l := Load{
		BootID:         e.bootID,
		WeightsVersion: e.version,
		Build:          e.config.Build,
		Loading:        e.loading,
		Running:        len(e.running),
		Waiting:        len(e.waiting),
		Fence:          e.fence,
	}
	for _, s := range e.running {
		l.PrefillTokens += s.tokens - s.prefilled
	}
	for _, s := range e.waiting {
		l.PrefillTokens += s.tokens - e.cache.match(s.hashes)*e.config.BlockTokens
	}
	return l
}

func (e *Engine) sampleLoad(ctx context.Context) {
	lag := max(millis(e.config.LoadLagMS), time.Millisecond)
	ticker := time.NewTicker(lag)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.mu.Lock()
			e.report = e.currentLoad()
			e.mu.Unlock()
		}
	}
}

// Crash empties the engine and keeps it away for the configured time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.away = true
	e.endAll(finishCrashed)
	e.boot()
	time.AfterFunc(millis(e.config.RestartMS), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.away = false
	})
}

// resetTruth begins the engine's own count anew.
func (e *Engine) resetTruth() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.truth = Truth{}
	e.computed = map[uint64]struct{}{}
}

func (e *Engine) endAll(reason string) {
	for _, s := range e.byID {
		s.end(reason)
	}
}
