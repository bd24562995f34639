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

// maxResumes is the maximum number of times that one engine stream is resumed.
const maxResumes = 5

// runJob sends a job to the engine and fills the job's buffer until the stream ends.
func (r *runner) runJob(j *job) {
	s, err := openWithin(j.ctx, r.firstChunkTimeout(j), func(ctx context.Context) (*target.Stream, error) {
		return r.engine.Start(ctx, j.completion())
	})
	if err != nil {
		r.breakOff(j, startRefusal(err))
		return
	}
	if j.req.Bound && s.Build != j.req.Build {
		// The engine has restarted since its last load report.
		s.Close()
		refused := otherBuildRefusal(s.Build, j.req.Build)
		refused.Outcome = refusal.Unknown
		r.breakOff(j, refused)
		return
	}
	r.bufferStream(j, s)
}

// openWithin opens a stream of the engine. The header of the response must arrive within a timeout,
// which does not bound the stream: a job has readers meanwhile, so that nothing else would end it.
func openWithin(ctx context.Context, timeout time.Duration, open func(context.Context) (*target.Stream, error)) (*target.Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(errSilent) })
	defer timer.Stop()
	s, err := open(ctx)
	if err != nil {
		cancel(err)
		return nil, err
	}
	return s, nil
}

// resume reopens the stream of a request that the engine has.
func (r *runner) resume(ctx context.Context, id string, offset int) (*target.Stream, error) {
	return openWithin(ctx, settings.Millis(r.settings.Stream.EngineSilenceMS), func(ctx context.Context) (*target.Stream, error) {
		return r.engine.Resume(ctx, id, offset)
	})
}

// startRefusal returns the refusal for a request that the engine failed to start. Its
// outcome is "not run" only if the request was not sent or the engine answered that it
// takes no requests; otherwise the engine may have started it.
func startRefusal(err error) *refusal.Error {
	e := refusal.New(refusal.TargetFailed, "another runner takes the request", "the engine did not take it: %v", err)
	if !errors.Is(err, target.ErrNotSent) && !errors.Is(err, target.ErrNotAccepting) {
		e.Outcome = refusal.Unknown
	}
	return e
}

// bufferStream copies the engine's stream into the job's buffer. A stream that breaks
// or goes silent is resumed at its offset on a new connection, as long as the engine
// still has it.
func (r *runner) bufferStream(j *job, s *target.Stream) {
	r.setBuild(j, s.Build)
	resumes := 0
	for {
		finish, err := r.readChunks(j, s)
		s.Close()
		if err == nil {
			r.finishAndDispatch(j, finish, time.Now())
			return
		}
		if j.ctx.Err() != nil {
			r.cancelAtEngine(j)
			return
		}
		resumes++
		if resumes > maxResumes || errors.Is(err, errStreamTooLarge) || errors.Is(err, errCanceledByEngine) {
			r.breakOff(j, streamBrokenRefusal(err))
			return
		}
		r.metrics.engineResumes.Inc()
		s, err = r.resume(j.ctx, j.id, j.buffer.EndOffset())
		if err != nil {
			r.breakOff(j, streamBrokenRefusal(err))
			return
		}
	}
}

// breakOff ends a job whose stream can't be read to its end. An engine goes on with a stream that has
// no reader, so the request is canceled there before an entry hears that it may go on elsewhere.
func (r *runner) breakOff(j *job, refused *refusal.Error) {
	if refused.Outcome != refusal.NotRun {
		r.cancelAtEngine(j)
	}
	r.finishAndDispatch(j, stream.Finish{Err: refused}, time.Now())
}

func (r *runner) setBuild(j *job, build string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.build = build
}

func (r *runner) buildOf(j *job) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return j.build
}

func streamBrokenRefusal(err error) *refusal.Error {
	e := refusal.New(refusal.TargetFailed, "the stream goes on at another runner", "the engine's stream broke: %v", err)
	e.Outcome = refusal.Unknown
	return e
}

// maxStreamBytes bounds the memory of one stream: 100,000 tokens of 24 bytes and their strings.
const maxStreamBytes = 4 << 20

var errStreamTooLarge = fmt.Errorf("the stream is over %d bytes", maxStreamBytes)

var errSilent = errors.New("the engine's stream went silent")

var errCanceledByEngine = errors.New("the engine canceled the request before its last token")

// readChunks reads chunks until the stream ends. A watchdog closes a connection that
// has gone silent: a network device on the path may have dropped its state, and a read
// would then block forever.
func (r *runner) readChunks(j *job, s *target.Stream) (stream.Finish, error) {
	silence := settings.Millis(r.settings.Stream.EngineSilenceMS)
	watchdog := time.AfterFunc(r.firstChunkTimeout(j), s.Close)
	defer watchdog.Stop()
	stop := context.AfterFunc(j.ctx, s.Close)
	defer stop()
	for {
		c, err := s.Next()
		if err != nil {
			return stream.Finish{}, fmt.Errorf("%w or broke: %w", errSilent, unexpectedEOF(err))
		}
		switch c.FinishReason {
		case "":
		case target.FinishCanceled:
			return stream.Finish{}, errCanceledByEngine
		default:
			return finishOf(c), nil
		}
		if c.Offset < j.buffer.EndOffset() {
			// Chunks that repeat others end no silence.
			r.metrics.duplicates.Inc()
			continue
		}
		watchdog.Reset(silence)
		if !j.buffer.Append(c.Offset, c.Text) {
			return stream.Finish{}, fmt.Errorf("the engine skipped from token %d to %d", j.buffer.EndOffset(), c.Offset)
		}
		if j.buffer.Bytes() > maxStreamBytes {
			return stream.Finish{}, errStreamTooLarge
		}
		if c.Offset == 0 {
			r.firstToken(j, time.Now())
		}
	}
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// firstChunkTimeout returns the time limit for the next chunk: the silence limit, plus
// four times the expected prefill time if the prompt is still being computed.
func (r *runner) firstChunkTimeout(j *job) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	silence := settings.Millis(r.settings.Stream.EngineSilenceMS)
	if j.phase != prefilling {
		return silence
	}
	return silence + 4*r.estimator.prefillTime(r.prefillTokens)
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

// cancelTimeout bounds the cancellation of a request at the engine.
const cancelTimeout = time.Second

func (r *runner) cancelAtEngine(j *job) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// If this fails, the engine's own limit for streams without a reader ends the
	// request.
	_ = r.engine.Cancel(ctx, j.id)
}
