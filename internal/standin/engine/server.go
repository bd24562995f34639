package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

type completionRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	CacheSalt string `json:"cache_salt"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// chunk is one event of a stream.
type chunk struct {
	Offset         int    `json:"offset"`
	Text           string `json:"text"`
	FinishReason   string `json:"finish_reason,omitempty"`
	Usage          *usage `json:"usage,omitempty"`
	WeightsVersion string `json:"weights_version,omitempty"`
}

// Headers of a stream's answer.
const (
	headerBoot    = "X-Boot-Id"
	headerWeights = "X-Weights-Version"
	headerBuild   = "X-Software-Version"
)

// Handler returns the engine's protocol, and /admin and /truth for trials.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/cache", e.serveCache)
	mux.HandleFunc("GET /v1/cache/events", e.serveEvents)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("POST /admin/crash", func(http.ResponseWriter, *http.Request) { e.Crash() })
	mux.HandleFunc("POST /admin/faults", e.serveFaults)
	mux.HandleFunc("POST /admin/reset", func(http.ResponseWriter, *http.Request) { e.resetTruth() })
	mux.HandleFunc("GET /truth", e.serveTruth)
	mux.HandleFunc("GET /truth/begun", e.serveBegun)
	mux.HandleFunc("POST /truth/lookup", e.serveLookup)
	mux.HandleFunc("GET /truth/computed", e.serveComputed)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return e.whileUp(mux)
}

// whileUp cuts connections while the engine is away, as a dead process does.
func (e *Engine) whileUp(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		away := e.away
		e.mu.Unlock()
		if away && r.URL.Path != "/truth" && r.URL.Path != "/truth/computed" && r.URL.Path != "/truth/begun" {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.RequestID == "" || req.MaxTokens < 1 || req.Model != e.config.Model {
		http.Error(w, "request_id, max_tokens and the served model are needed", http.StatusBadRequest)
		return
	}
	s, boot, version, err := e.submit(req)
	switch {
	case errors.Is(err, errExists):
		http.Error(w, err.Error(), http.StatusConflict)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(headerBoot, boot)
	w.Header().Set(headerWeights, version)
	e.stream(w, r, s, 0)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	s := e.find(r.PathValue("id"))
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
	e.stream(w, r, s, offset)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, offset int) {
	s.attach()
	defer s.detach()
	w.Header().Set("Content-Type", "text/event-stream")
	if e.config.Build != "" {
		w.Header().Set(headerBuild, e.config.Build)
	}
	out := http.NewResponseController(w)
	_ = out.Flush()
	for {
		tokens, finish, changed := s.from(offset)
		for _, text := range tokens {
			writeChunk(w, chunk{Offset: offset, Text: text})
			offset++
		}
		if finish == finishCrashed {
			panic(http.ErrAbortHandler)
		}
		if finish != "" {
			writeChunk(w, e.lastChunk(s, offset, finish))
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		_ = out.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) lastChunk(s *sequence, offset int, finish string) chunk {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := usage{PromptTokens: s.tokens, CachedTokens: s.cached, CompletionTokens: offset}
	return chunk{Offset: offset, FinishReason: finish, Usage: &u, WeightsVersion: e.version}
}

func writeChunk(w http.ResponseWriter, c chunk) {
	data, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

func (e *Engine) serveCancel(_ http.ResponseWriter, r *http.Request) {
	if s := e.find(r.PathValue("id")); s != nil {
		s.cancel()
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e.report)
}

// cacheDump is every cached block, for readers that have lost events.
type cacheDump struct {
	BootID string      `json:"boot_id"`
	Seq    uint64      `json:"seq"`
	Blocks [][2]uint64 `json:"blocks"`
}

func (e *Engine) serveCache(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	dump := cacheDump{BootID: e.bootID, Seq: e.events.sequence()}
	for _, b := range e.cache.blocks {
		dump.Blocks = append(dump.Blocks, [2]uint64{b.hash, b.parent})
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(dump)
}

// serveEvents streams cache events, one JSON object a line, from ?after=SEQ.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	boot := e.currentBoot()
	w.Header().Set(headerBoot, boot)
	out := http.NewResponseController(w)
	_ = out.Flush()
	encoder := json.NewEncoder(w)
	for r.Context().Err() == nil {
		events, wait, changed := e.events.ready(after)
		if e.currentBoot() != boot {
			panic(http.ErrAbortHandler)
		}
		for _, event := range events {
			_ = encoder.Encode(event)
			after = event.Seq
		}
		_ = out.Flush()
		if wait == 0 {
			wait = time.Minute
		}
		select {
		case <-time.After(wait):
		case <-changed:
		case <-r.Context().Done():
		}
	}
}

func (e *Engine) currentBoot() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootID
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	faults := struct {
		EventLoss    float64 `json:"event_loss"`
		EventDelayMS float64 `json:"event_delay_ms"`
	}{}
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.events.mu.Lock()
	defer e.events.mu.Unlock()
	e.events.loss = faults.EventLoss
	e.events.delay = millis(faults.EventDelayMS)
}

func (e *Engine) serveTruth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e.truth)
}

// serveBegun returns the IDs of the sequences that produced a token.
func (e *Engine) serveBegun(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(slices.Sorted(maps.Keys(e.begun)))
}

type lookupRequest struct {
	// Hashes are a prompt's boundaries, shortest first, and Tokens their depths.
	Hashes []uint64 `json:"hashes"`
	Tokens []int    `json:"tokens"`
}

type lookupAnswer struct {
	CachedTokens  int `json:"cached_tokens"`
	PrefillTokens int `json:"prefill_tokens"`
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
}

// serveLookup tells what is cached and queued now, without lag, for the
// oracle policy of the bench.
func (e *Engine) serveLookup(w http.ResponseWriter, r *http.Request) {
	var req lookupRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.currentLoad()
	a := lookupAnswer{PrefillTokens: load.PrefillTokens, Running: load.Running, Waiting: load.Waiting}
	for i, h := range req.Hashes {
		if e.cache.blocks[h] != nil {
			a.CachedTokens = req.Tokens[i]
		}
	}
	_ = json.NewEncoder(w).Encode(a)
}

// serveComputed lists the distinct blocks ever computed; beside the engines'
// sums they give the tokens that were computed more than once.
func (e *Engine) serveComputed(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	hashes := make([]uint64, 0, len(e.computed))
	for h := range e.computed {
		hashes = append(hashes, h)
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(hashes)
}
