package engine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"acaciakeel/prefix"
)

// sequence is one request inside the engine.
type sequence struct {
	id        string
	priority  int
	arrival   uint64
	hashes    []uint64
	tokens    int
	maxTokens int

	// Owned by the engine's loop.
	root      uint64
	cached    int
	prefilled int
	stored    int
	text      *generator

	mu       sync.Mutex
	out      []string
	finish   string
	changed  chan struct{}
	readers  int
	unread   time.Time
	canceled bool
}

// The reasons why a sequence ends.
const (
	finishLength   = "length"
	finishCanceled = "canceled"
	finishCrashed  = "crashed"
)

func newSequence(r completionRequest, weightsVersion string, blockTokens int) *sequence {
	prompt := []byte(r.Prompt)
	blockBytes := blockTokens * prefix.BytesPerToken
	root := prefix.Root(r.CacheSalt)
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	hash := root
	for i := blockBytes; i <= len(prompt); i += blockBytes {
		hash = prefix.Next(hash, prompt[i-blockBytes:i])
		hashes = append(hashes, hash)
	}
	return &sequence{
		id:        r.RequestID,
		priority:  r.Priority,
		hashes:    hashes,
		tokens:    max(1, prefix.TokenCount(len(prompt))),
		maxTokens: r.MaxTokens,
		root:      root,
		text:      newGenerator(weightsVersion, r.Adapter, prompt),
		changed:   make(chan struct{}),
		unread:    time.Now(),
	}
}

func (s *sequence) parentOf(i int) uint64 {
	if i == 0 {
		return s.root
	}
	return s.hashes[i-1]
}

func (s *sequence) inPrefill() bool {
	return s.prefilled < s.tokens
}

// emit adds the next token and reports whether it was the last.
func (s *sequence) emit() bool {
	token := s.text.next()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = append(s.out, token)
	if len(s.out) >= s.maxTokens {
		s.finish = finishLength
	}
	s.wake()
	return s.finish != ""
}

func (s *sequence) end(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finish == "" {
		s.finish = reason
	}
	s.wake()
}

func (s *sequence) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// from returns the tokens at and after offset, the finish reason once there
// is one, and a channel that closes at the next change.
func (s *sequence) from(offset int) ([]string, string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset >= len(s.out) {
		return nil, s.finish, s.changed
	}
	return s.out[offset:], s.finish, s.changed
}

func (s *sequence) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

func (s *sequence) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.unread = time.Now()
}

func (s *sequence) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canceled = true
}

// givenUp reports whether nobody wants the sequence any more.
func (s *sequence) givenUp(grace time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canceled || (s.readers == 0 && time.Since(s.unread) > grace)
}

// generator makes the text of a sequence. Each token depends on all the text
// before it, the weights and the adapter, so that a continuation from
// prompt + what was sent gives the same text, and other weights other text.
type generator struct {
	digest *xxhash.Digest
}

func newGenerator(weightsVersion, adapter string, prompt []byte) *generator {
	d := xxhash.New()
	_, _ = d.WriteString(weightsVersion + "\x00" + adapter + "\x00")
	_, _ = d.Write(prompt)
	return &generator{digest: d}
}

const letters = "abcdefghijklmnopqrstuvwxyz"

func (g *generator) next() string {
	sum := g.digest.Sum64()
	token := make([]byte, prefix.BytesPerToken)
	token[0] = ' '
	for i := 1; i < len(token); i++ {
		token[i] = letters[sum%uint64(len(letters))]
		sum /= uint64(len(letters))
	}
	_, _ = g.digest.Write(token)
	return string(token)
}

// Text returns the n tokens that an engine answers a prompt with.
func Text(weightsVersion, adapter, prompt string, n int) string {
	g := newGenerator(weightsVersion, adapter, []byte(prompt))
	out := make([]byte, 0, n*prefix.BytesPerToken)
	for range n {
		out = append(out, g.next()...)
	}
	return string(out)
}
