package telemetry

import (
	"io"
	"sync/atomic"
	"time"
)

// Lines is an asynchronous log writer. A background goroutine performs the
// output, so callers never block on a slow reader. Lines that do not fit in
// the queue are dropped and counted.
type Lines struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	// flush carries flush requests; run closes the received channel once the
	// queued lines have been written.
	flush chan chan struct{}
	// batch is the buffer of the current write; only run's goroutine uses it.
	batch []byte
}

// queuedLines is the capacity of the queue: about one second of output of a
// busy process, at most a few hundred kilobytes.
const queuedLines = 1024

// NewLines returns a Lines that writes to out and starts its goroutine, which
// runs until the process exits.
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

// Dropped returns the number of lines dropped because the queue was full.
func (l *Lines) Dropped() int64 {
	return l.dropped.Load()
}

// batchBytes limits the size of one write: no line is added to a batch that has
// reached it.
const batchBytes = 32 << 10

// Flush waits until the lines queued so far have been written, or until timeout.
// Call it before the process exits; otherwise its last log lines are lost.
func (l *Lines) Flush(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	done := make(chan struct{})
	select {
	case l.flush <- done:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}

func (l *Lines) run() {
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		case done := <-l.flush:
			l.drain()
			close(done)
		}
	}
}

// drain writes all queued lines.
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

// write writes line together with the lines queued after it, up to batchBytes.
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
	// A write error is ignored: the process keeps serving if the log reader has exited.
	_, _ = l.out.Write(l.batch)
}
