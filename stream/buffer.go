// Package stream delivers the tokens of a stream completely, once and in order.
// An agent's Buffer holds the tokens of a stream by offset, so that a reader can
// resume at any of them. An entry's Assembler filters the events that arrive
// over any number of connections, so that each is passed on once.
package stream

import "sync"

// Finish describes how a stream ended.
type Finish struct {
	// Reason is the finish reason given by the engine, such as "length".
	Reason           string
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
	WeightsVersion   string
	// Err is the error that ended the stream; nil if it is complete.
	Err error
}

// Buffer holds the events of one stream. Offsets count tokens from 0. It is
// safe for concurrent use: one writer, any number of readers.
type Buffer struct {
	mu sync.Mutex
	// base is the offset of the first token held. It is above 0 in a buffer
	// that started in the middle of a stream.
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

func (b *Buffer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Append adds the token at offset. It returns false, and adds nothing, if the
// buffer already holds that token, if the token would leave a gap, or after
// Close.
func (b *Buffer) Append(offset int, text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset != b.base+len(b.tokens) || b.finish != nil {
		return false
	}
	b.tokens = append(b.tokens, text)
	b.bytes += len(text) + stringBytes
	b.notify()
	return true
}

// EndOffset returns the offset after the last token.
func (b *Buffer) EndOffset() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.base + len(b.tokens)
}

// CanReadFrom reports whether a reader can resume at offset, which must be
// neither before the first token held nor after the end of the buffer.
func (b *Buffer) CanReadFrom(offset int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return offset >= b.base && offset <= b.base+len(b.tokens)
}

// stringBytes is the memory of a string beside its text, in bytes.
const stringBytes = 16

// Bytes returns the memory of the tokens held, in bytes.
func (b *Buffer) Bytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// Close ends the stream with f. Calls after the first have no effect.
func (b *Buffer) Close(f Finish) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.finish != nil {
		return
	}
	b.finish = &f
	b.notify()
}

// TokensFrom returns the tokens from offset on, the finish of the stream (nil
// until Close) and a channel that is closed on the next Append or Close.
func (b *Buffer) TokensFrom(offset int) ([]string, *Finish, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	index := offset - b.base
	if index < 0 || index >= len(b.tokens) {
		return nil, b.finish, b.changed
	}
	return b.tokens[index:], b.finish, b.changed
}

// EventStatus is an Assembler's classification of an event.
type EventStatus string

// The statuses of an event. Only one with status Next is passed on.
const (
	Next      EventStatus = "next"
	Duplicate EventStatus = "duplicate"
	// Gap: events before this one are missing, so the connection can't be
	// relied on; resume at AttemptOffset on a new one.
	Gap EventStatus = "ahead"
	// Stale: the event belongs to an abandoned attempt.
	Stale EventStatus = "crossed"
)

// Assembler decides which events of a stream to pass on. It is not safe for
// concurrent use.
type Assembler struct {
	attempt uint32
	// base is the stream offset at which the current attempt began. The offsets
	// of an attempt start at 0, also when it continues a stream at another
	// target.
	base   int
	offset int
}

// Offset returns the stream offset of the next event to pass on.
func (a *Assembler) Offset() int {
	return a.offset
}

// AttemptOffset returns the offset of the next event to pass on, relative to the
// start of the current attempt.
func (a *Assembler) AttemptOffset() int {
	return a.offset - a.base
}

// StartAttempt starts an attempt that continues the stream after the events
// passed on so far. Events of all other attempts are stale from then on.
func (a *Assembler) StartAttempt(attempt uint32) {
	a.attempt = attempt
	a.base = a.offset
}

// Restore sets the assembler to continue, at the given stream offset, an attempt
// that began at base.
func (a *Assembler) Restore(attempt uint32, base, offset int) {
	a.attempt = attempt
	a.base = base
	a.offset = offset
}

// Accept classifies an event by its attempt and its offset in that attempt, and
// advances the offset if the event is next.
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
