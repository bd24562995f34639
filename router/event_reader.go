package router

import (
	"bufio"
	"bytes"
	"io"

	"acaciakeel/responsebuffer"
)

const (
	// maxEventBytes is the maximum size of an event. A target that exceeds it is assumed not to
	// send an event stream.
	maxEventBytes = 1 << 20
	// eventReadBytes is how much of an event is read and appended at once.
	eventReadBytes = 4 << 10
)

// eventReader reads the events of a stream. What the current event occupies beyond uncountedBytes
// is counted before it is allocated.
type eventReader struct {
	in   *bufio.Reader
	held *responsebuffer.Reservation
	// counted is what is counted of the current event.
	counted int64
}

func newEventReader(in io.Reader, held *responsebuffer.Reservation) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(in, eventReadBytes), held: held}
}

// next reads up to and including the empty line that ends an event. At the end of the stream it
// returns the remaining bytes with io.EOF. Beyond maxEventBytes the error is an *oversizedError,
// whether the event consists of one line or of many, and beyond the memory for all responses it
// is that of the reservation.
func (r *eventReader) next() ([]byte, error) {
	var event []byte
	// continued is set if the last part ended inside a line.
	continued := false
	for {
		line, err := r.in.ReadSlice('\n')
		var full error
		if event, full = r.append(event, line); full != nil {
			return nil, full
		}
		switch {
		case len(event) > maxEventBytes:
			return nil, &oversizedError{part: partEvent, bytes: int64(len(event))}
		case err == bufio.ErrBufferFull:
			continued = true
			continue
		case err != nil:
			return event, err
		case !continued && len(bytes.TrimRight(line, "\r\n")) == 0:
			return event, nil
		}
		continued = false
	}
}

// append appends a part of a line to an event. Events up to uncountedBytes, which are most, take
// no lock.
func (r *eventReader) append(event, line []byte) ([]byte, error) {
	need := len(event) + len(line)
	if need <= max(cap(event), uncountedBytes) {
		return append(event, line...), nil
	}
	size := min(2*need, maxEventBytes+eventReadBytes)
	if err := r.held.Grow(int64(size)); err != nil {
		return nil, err
	}
	grown := append(append(make([]byte, 0, size), event...), line...)
	r.release()
	r.counted = int64(size)
	return grown, nil
}

// release ends the counting of the current event, which has been passed on or freed.
func (r *eventReader) release() {
	if r.counted > 0 {
		r.held.Shrink(r.counted)
		r.counted = 0
	}
}
