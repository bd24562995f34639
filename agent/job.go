package agent

import (
	"context"
	"fmt"
	"time"

	"acaciakeel/admission"
	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/prefix"
	"acaciakeel/stream"
	"acaciakeel/target"
)

// phase is the progress of a job.
type phase int

const (
	waiting phase = iota
	prefilling
	decoding
	ended
)

// job is one attempt at a model request.
type job struct {
	id     string
	req    *keelv1.GenerateRequest
	item   *admission.Item
	buffer *stream.Buffer
	ctx    context.Context
	cancel context.CancelFunc

	// The following fields are guarded by the runner's mutex.
	phase phase
	// cachedTokens is the number of prompt tokens expected to be cached at the last
	// estimate, which is made at dispatch; uncachedTokens is the rest, at least 1.
	cachedTokens   int
	uncachedTokens int
	bootID         string
	// build is the software version of the engine that runs the job.
	build        string
	dispatchedAt time.Time
	readers      int
	unreadSince  time.Time
	endedAt      time.Time
}

// jobID identifies an attempt, both here and at the engine. It includes the customer,
// so that no customer can read another's stream with a request id, even through an
// agent that has restarted and knows only the requests at its engine.
func jobID(customer, requestID string, attempt uint32) string {
	return fmt.Sprintf("%s.%d.%016x", requestID, attempt, prefix.NameHash(customer))
}

func newJob(req *keelv1.GenerateRequest, base int, now time.Time) *job {
	ctx, cancel := context.WithCancel(context.Background())
	j := &job{
		id:          jobID(req.Customer, req.RequestId, req.Attempt),
		req:         req,
		buffer:      stream.NewBuffer(base),
		ctx:         ctx,
		cancel:      cancel,
		unreadSince: now,
	}
	j.item = &admission.Item{
		ID:           j.id,
		Customer:     req.Customer,
		Weight:       int(req.Weight),
		Priority:     int(req.Priority),
		PrefixHashes: req.BoundaryHash,
	}
	if req.DeadlineMs > 0 {
		j.item.Deadline = now.Add(time.Duration(req.DeadlineMs) * time.Millisecond)
	}
	return j
}

func (j *job) completion() target.Completion {
	return target.Completion{
		RequestID: j.id,
		Model:     j.req.Model,
		Adapter:   j.req.Adapter,
		Prompt:    string(j.req.Prompt),
		MaxTokens: int(j.req.MaxTokens),
		Priority:  int(j.req.Priority),
		CacheSalt: j.req.CacheSalt,
	}
}
