package telemetry

import (
	"fmt"
	"testing"
)

// blockedWriter blocks in Write forever, like a pipe whose reader has stopped.
type blockedWriter struct{ started chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	s.started <- struct{}{}
	select {}
}

// Guards against requests blocking on logging when the log reader stops: lines
// that do not fit in the queue must be dropped and counted.
func TestLinesNeverBlock(t *testing.T) {
	out := blockedWriter{started: make(chan struct{})}
	l := NewLines(out)
	fmt.Fprintln(l, "first")
	<-out.started
	for range queuedLines + 10 {
		fmt.Fprintln(l, "more")
	}
	if got := l.Dropped(); got != 10 {
		t.Errorf("dropped %d lines, want 10", got)
	}
}
