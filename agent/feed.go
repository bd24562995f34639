package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"acaciakeel/refusal"
	"acaciakeel/settings"
	"acaciakeel/stream"
	"acaciakeel/target"
)

// maxResumes bounds how often one stream of an engine is opened again.
const maxResumes = 5

// run gives a job to the engine and fills its buffer until the end.
func (r *runner) run(j *job) {
	s, err := r.engine.Start(j.ctx, j.completion())
	if err != nil {
		r.end(j, stream.Finish{Err: startRefusal(err)}, time.Now())
		return
	}
	r.feed(j, s)
}

// startRefusal tells a request that the engine never had from one that it may
// have begun.
func startRefusal(err error) *refusal.Error {
	e := refusal.New(refusal.TargetFailed, "another runner takes the request", "the engine did not take it: %v", err)
	if !errors.Is(err, target.ErrNotSent) && !errors.Is(err, target.ErrNotAccepting) {
		e.Outcome = refusal.Unknown
	}
	return e
}

// feed reads the engine's stream into the job's buffer. A stream that breaks
// or goes silent is resumed at its offset on a new connection, as long as the
// engine still knows it.
func (r *runner) feed(j *job, s *target.Stream) {
	resumes := 0
	for {
		finish, err := r.read(j, s)
		s.Close()
		if err == nil {
			r.end(j, finish, time.Now())
			return
		}
		if j.ctx.Err() != nil {
			r.cancelAtEngine(j)
			return
		}
		resumes++
		if resumes > maxResumes {
			r.end(j, stream.Finish{Err: brokenRefusal(err)}, time.Now())
			return
		}
		r.metrics.engineResumes.Inc()
		s, err = r.engine.Resume(j.ctx, j.id, j.buffer.EndOffset())
		if err != nil {
			r.end(j, stream.Finish{Err: brokenRefusal(err)}, time.Now())
			return
		}
	}
}

func brokenRefusal(err error) *refusal.Error {
	e := refusal.New(refusal.TargetFailed, "the stream goes on at another runner", "the engine's stream broke: %v", err)
	e.Outcome = refusal.Unknown
	return e
}

var errSilent = errors.New("the engine's stream went silent")

// read takes chunks until the stream's end. The watchdog closes a connection
// that has gone silent: something on the way may have lost track of it, and
// reading on would wait for ever.
func (r *runner) read(j *job, s *target.Stream) (stream.Finish, error) {
	silence := settings.Millis(r.settings.Stream.EngineSilenceMS)
	watchdog := time.AfterFunc(r.patience(j), s.Close)
	defer watchdog.Stop()
	stop := context.AfterFunc(j.ctx, s.Close)
	defer stop()
	for {
		c, err := s.Next()
		if err != nil {
			return stream.Finish{}, fmt.Errorf("%w or broke: %w", errSilent, noEOF(err))
		}
		watchdog.Reset(silence)
		if c.FinishReason != "" {
			return finishOf(c), nil
		}
		if c.Offset < j.buffer.EndOffset() {
			r.metrics.duplicates.Inc()
			continue
		}
		if !j.buffer.Append(c.Offset, c.Text) {
			return stream.Finish{}, fmt.Errorf("the engine skipped from token %d to %d", j.buffer.EndOffset(), c.Offset)
		}
		if c.Offset == 0 {
			r.firstToken(j, time.Now())
		}
	}
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// patience is how long the first chunk may take: silence on top of several
// times the expected prefill.
func (r *runner) patience(j *job) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	silence := settings.Millis(r.settings.Stream.EngineSilenceMS)
	if j.phase != prefilling {
		return silence
	}
	return silence + 4*r.pace.cost(r.prefillTokens)
}

func finishOf(c target.Chunk) stream.Finish {
	f := stream.Finish{Reason: c.FinishReason, WeightsVersion: c.WeightsVersion}
	if c.Usage != nil {
		f.PromptTokens = c.Usage.PromptTokens
		f.CachedTokens = c.Usage.CachedTokens
		f.CompletionTokens = c.Usage.CompletionTokens
	}
	return f
}

// cancelTimeout bounds telling the engine that a request was given up.
const cancelTimeout = time.Second

func (r *runner) cancelAtEngine(j *job) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// A failure leaves the request to the engine's own limit for streams
	// without a reader.
	_ = r.engine.Cancel(ctx, j.id)
}
