package telemetry

import (
	"io"
	"sync/atomic"
	"time"
)

// Lines writes log lines from a goroutine of its own, so that whoever logs
// never waits for the reader. Lines beyond what fits are dropped and counted.
type Lines struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	// flush asks for everything written before; it is answered by closing it.
	flush chan chan struct{}
	// batch is what goes out in one write; only run's goroutine uses it.
	batch []byte
}

// queuedLines is how many lines wait for the writer: about a second of a busy
// process, a few hundred kilobytes at most.
const queuedLines = 1024

// NewLines returns a writer to out; it runs for the life of the process.
func NewLines(out io.Writer) *Lines {
	l := &Lines{out: out, queue: make(chan []byte, queuedLines), flush: make(chan chan struct{})}
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

// Flush waits until the lines written so far are out, for a time at most: a
// process that ends would take the lines of its end along.
func (l *Lines) Flush(most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	out := make(chan struct{})
	select {
	case l.flush <- out:
	case <-timer.C:
		return
	}
	select {
	case <-out:
	case <-timer.C:
	}
}

func (l *Lines) run() {
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		case out := <-l.flush:
			l.drain()
			close(out)
		}
	}
}

// drain writes the lines that wait.
func (l *Lines) drain() {
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		default:
			return
		}
	}
}

// write writes a line and those that wait behind it, up to a batch.
func (l *Lines) write(line []byte) {
	l.batch = append(l.batch[:0], line...)
	for more := true; more && len(l.batch) < batchBytes; {
		select {
		case next := <-l.queue:
			l.batch = append(l.batch, next...)
		default:
			more = false
		}
	}
	// Whoever reads the logs may be gone; serving goes on.
	_, _ = l.out.Write(l.batch)
}
