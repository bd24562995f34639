package telemetry

import (
	"io"
	"sync/atomic"
)

// Lines writes log lines from a goroutine of its own, so that whoever logs
// never waits for the reader. Lines beyond what fits are dropped and counted.
type Lines struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
}

// queuedLines is how many lines wait for the writer: about a second of a busy
// process, a few hundred kilobytes at most.
const queuedLines = 1024

// NewLines returns a writer to out; it runs for the life of the process.
func NewLines(out io.Writer) *Lines {
	l := &Lines{out: out, queue: make(chan []byte, queuedLines)}
	go l.run()
	return l
}

// Write implements io.Writer. It never blocks.
func (l *Lines) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were lost.
func (l *Lines) Dropped() int64 {
	return l.dropped.Load()
}

// batchBytes bounds the lines that go out in one write.
const batchBytes = 32 << 10

func (l *Lines) run() {
	var batch []byte
	for line := range l.queue {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < batchBytes; {
			select {
			case next := <-l.queue:
				batch = append(batch, next...)
			default:
				more = false
			}
		}
		// Whoever reads the logs may be gone; serving goes on.
		_, _ = l.out.Write(batch)
	}
}
