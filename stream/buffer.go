// Package stream keeps streams whole and in order: an agent's Buffer holds
// every event of a stream by offset until its reader has it, and an entry's
// Assembler takes events from any number of connections and passes each on once.
package stream

import "sync"

// Finish is the end of a stream.
type Finish struct {
	// Reason is the engine's reason, such as "length".
	Reason           string
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
	WeightsVersion   string
	// Err is why the stream broke off; nil after a whole answer.
	Err error
}

// Buffer holds the events of one stream. Offsets count tokens from 0. It is
// safe for concurrent use: one writer, any number of readers.
type Buffer struct {
	mu sync.Mutex
	// base is the offset of the first token held: above 0 in a buffer that
	// took over a stream in its middle.
	base    int
	tokens  []string
	bytes   int
	finish  *Finish
	changed chan struct{}
}

// NewBuffer returns an empty buffer whose first token has the offset base.
func NewBuffer(base int) *Buffer {
	return &Buffer{base: base, changed: make(chan struct{})}
}

func (b *Buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Append adds the token at offset. It returns false for a token that is there
// already or that would leave a gap.
func (b *Buffer) Append(offset int, text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset != b.base+len(b.tokens) || b.finish != nil {
		return false
	}
	b.tokens = append(b.tokens, text)
	b.bytes += len(text)
	b.wake()
	return true
}

// EndOffset returns the offset after the last token.
func (b *Buffer) EndOffset() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.base + len(b.tokens)
}

// CanReadFrom reports whether a reader can go on from offset: the buffer has
// neither lost the tokens there nor would it leave a gap.
func (b *Buffer) CanReadFrom(offset int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return offset >= b.base && offset <= b.base+len(b.tokens)
}

// Bytes returns the size of the tokens.
func (b *Buffer) Bytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// Close ends the stream. Only the first end counts.
func (b *Buffer) Close(f Finish) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.finish != nil {
		return
	}
	b.finish = &f
	b.wake()
}

// TokensFrom returns the tokens at and after offset, the end once it is there, and
// a channel that closes at the next change.
func (b *Buffer) TokensFrom(offset int) ([]string, *Finish, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := offset - b.base
	if at < 0 || at >= len(b.tokens) {
		return nil, b.finish, b.changed
	}
	return b.tokens[at:], b.finish, b.changed
}

// EventStatus says what an Assembler made of an event.
type EventStatus string

// The verdicts on an event.
const (
	Next      EventStatus = "next"
	Duplicate EventStatus = "duplicate"
	// Gap: events before this one are missing, so the connection is not to
	// be believed; resume from Offset on a new one.
	Gap EventStatus = "ahead"
	// Stale: the event belongs to an attempt that was given up.
	Stale EventStatus = "crossed"
)

// Assembler decides which events of a stream are passed on. It is not safe
// for concurrent use.
type Assembler struct {
	attempt uint32
	// base is the stream's offset at which the current attempt began: an
	// attempt that continues at another runner counts from 0 again.
	base   int
	offset int
}

// Offset returns the offset of the next event to pass on.
func (a *Assembler) Offset() int {
	return a.offset
}

// AttemptOffset returns the next event's offset as the current attempt counts.
func (a *Assembler) AttemptOffset() int {
	return a.offset - a.base
}

// StartAttempt starts an attempt that continues after what was passed on so far.
// Events of all others are crossed from now on.
func (a *Assembler) StartAttempt(attempt uint32) {
	a.attempt = attempt
	a.base = a.offset
}

// Restore makes the assembler go on with an attempt that began at base, at
// the stream's offset.
func (a *Assembler) Restore(attempt uint32, base, offset int) {
	a.attempt = attempt
	a.base = base
	a.offset = offset
}

// Accept decides about one event of an attempt, by the attempt's own offset.
func (a *Assembler) Accept(attempt uint32, offset int) EventStatus {
	if attempt != a.attempt {
		return Stale
	}
	switch {
	case a.base+offset < a.offset:
		return Duplicate
	case a.base+offset > a.offset:
		return Gap
	}
	a.offset++
	return Next
}
