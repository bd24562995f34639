package telemetry

import (
	"fmt"
	"testing"
)

// stuck is a reader of logs that has stopped reading.
type stuck struct{ begun chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	s.begun <- struct{}{}
	select {}
}

// Whoever reads the logs stops. Requests must not wait for it: lines beyond the
// queue are dropped and counted.
func TestLinesNeverBlock(t *testing.T) {
	out := stuck{begun: make(chan struct{})}
	l := NewLines(out)
	fmt.Fprintln(l, "first")
	<-out.begun
	for range queuedLines + 10 {
		fmt.Fprintln(l, "more")
	}
	if got := l.Dropped(); got != 10 {
		t.Errorf("dropped %d lines, want 10", got)
	}
}
