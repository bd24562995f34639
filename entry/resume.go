package entry

import (
	"context"
	"fmt"
	"strings"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/refusal"
)

// resumePoint is the content of an event id. It names the attempt, the target and the
// position in the stream, so that a client can resume the stream at any entry.
type resumePoint struct {
	requestID string
	attempt   uint32
	target    string
	// base is the offset in the stream at which the attempt started.
	base int
	// offset is the offset of the event in the stream.
	offset int
}

// String returns the point as an SSE event id.
func (p resumePoint) String() string {
	return fmt.Sprintf("%s/%d/%s/%d/%d", p.requestID, p.attempt, p.target, p.base, p.offset)
}

// resumeFields is the number of fields in an event id.
const resumeFields = 5

func parseResumePoint(id string) (resumePoint, error) {
	fields := strings.Split(id, "/")
	if len(fields) != resumeFields {
		return resumePoint{}, fmt.Errorf("an event id has %d fields, not %d", resumeFields, len(fields))
	}
	p := resumePoint{requestID: fields[0], target: fields[2]}
	_, err := fmt.Sscanf(strings.Join([]string{fields[1], fields[3], fields[4]}, " "), "%d %d %d", &p.attempt, &p.base, &p.offset)
	if err != nil {
		return resumePoint{}, fmt.Errorf("read event id: %w", err)
	}
	return p, nil
}

// resumeSession resumes a stream that may have been started by another entry. Only
// the attempt's agent holds its text, so the stream can't continue at another runner.
func (e *Entry) resumeSession(ctx context.Context, m *modelRequest, point resumePoint) (*session, *refusal.Error) {
	url, ok := e.table.Load().agentURL[point.target]
	if !ok {
		refused := refusal.New(refusal.ResumeUnavailable, "send the request again without Last-Event-ID",
			"target %q of the stream is not configured", point.target)
		refused.Outcome = refusal.Unknown
		return nil, refused
	}
	m.requestID = point.requestID
	s := &session{entry: e, request: m, attempt: point.attempt, events: make(chan streamEvent, eventBuffer)}
	s.target = chosenTarget{name: point.target, url: url}
	s.assembler.Restore(point.attempt, point.base, point.offset+1)
	a := &attempt{entry: e, session: s, number: point.attempt, target: s.target}
	a.request = &keelv1.GenerateRequest{RequestId: m.requestID, Customer: m.customer}
	a.request = a.newReattachRequest()
	go func() {
		defer close(s.events)
		s.err = a.run(ctx)
	}()
	return s, nil
}
