package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"acaciakeel/refusal"
	"acaciakeel/stream"
)

// encodeReply writes a completion's answer: a stream of server-sent events,
// or one JSON object.
func (e *Entry) encodeReply(ctx context.Context, w http.ResponseWriter, response any) error {
	r := response.(*reply)
	w.Header().Set(headerRequestID, r.plan.requestID)
	if r.completion.stream {
		e.writeStream(ctx, w, r)
		return nil
	}
	return e.writeWhole(ctx, w, r)
}

// each calls take with every event of the reply and returns why the stream
// broke off, if it did. Contract and counters are settled here.
func (e *Entry) each(r *reply, take func(event)) *refusal.Error {
	tokens := 0
	defer func() { r.done(tokens) }()
	whole := false
	one := func(ev event) {
		if ev.finish != nil {
			whole = true
			e.countFinish(ev.finish)
		} else {
			tokens++
		}
		take(ev)
	}
	one(r.first)
	for ev := range r.session.events {
		one(ev)
	}
	e.metrics.tokens.WithLabelValues(r.plan.customer).Add(float64(tokens))
	if whole {
		return nil
	}
	return refusal.From(r.session.ended())
}

func (e *Entry) countFinish(f *stream.Finish) {
	e.metrics.promptTokens.WithLabelValues("yes").Add(float64(f.CachedTokens))
	e.metrics.promptTokens.WithLabelValues("no").Add(float64(max(0, f.PromptTokens-f.CachedTokens)))
}

func (e *Entry) writeWhole(ctx context.Context, w http.ResponseWriter, r *reply) error {
	var text strings.Builder
	var finish *stream.Finish
	err := e.each(r, func(ev event) {
		text.WriteString(ev.text)
		finish = ev.finish
	})
	if err != nil {
		e.encodeError(ctx, err, w)
		return nil
	}
	a := r.answer()
	a.Usage = newUsage(finish)
	content := text.String()
	if r.completion.chat {
		a.Object = "chat.completion"
		a.Choices = []choice{{Message: &chatContent{Role: "assistant", Content: content}, FinishReason: &finish.Reason}}
	} else {
		a.Choices = []choice{{Text: &content, FinishReason: &finish.Reason}}
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(a)
}

func (r *reply) answer() answer {
	a := answer{
		ID:      r.plan.requestID,
		Object:  "text_completion",
		Created: r.plan.received.Unix(),
		Model:   r.completion.model,
	}
	if r.completion.chat {
		a.Object = "chat.completion.chunk"
	}
	return a
}

func newUsage(f *stream.Finish) *usage {
	return &usage{
		PromptTokens:        f.PromptTokens,
		CompletionTokens:    f.CompletionTokens,
		TotalTokens:         f.PromptTokens + f.CompletionTokens,
		PromptTokensDetails: usageDetails{CachedTokens: f.CachedTokens},
	}
}

// writeStream writes each event as it comes. A stream that breaks off ends
// with an error event and without the closing [DONE], so that no client takes
// a part for the whole.
func (e *Entry) writeStream(_ context.Context, w http.ResponseWriter, r *reply) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	out := http.NewResponseController(w)
	err := e.each(r, func(ev event) {
		a := r.answer()
		if ev.finish == nil {
			a.Choices = []choice{r.delta(ev)}
		} else {
			a.Choices = []choice{r.lastDelta(ev.finish)}
		}
		writeEvent(w, ev.id, a)
		if ev.finish != nil && r.completion.withUsage {
			a.Choices = []choice{}
			a.Usage = newUsage(ev.finish)
			writeEvent(w, ev.id, a)
		}
		_ = out.Flush()
	})
	if err != nil {
		e.metrics.refusals.WithLabelValues(string(err.Kind)).Inc()
		writeEvent(w, "", newErrorBody(err, r.plan.requestID))
		return
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (r *reply) delta(ev event) choice {
	if !r.completion.chat {
		return choice{Text: &ev.text}
	}
	c := &chatContent{Content: ev.text}
	if ev.offset == 0 {
		c.Role = "assistant"
	}
	return choice{Delta: c}
}

func (r *reply) lastDelta(f *stream.Finish) choice {
	if !r.completion.chat {
		empty := ""
		return choice{Text: &empty, FinishReason: &f.Reason}
	}
	return choice{Delta: &chatContent{}, FinishReason: &f.Reason}
}

func writeEvent(w http.ResponseWriter, id string, data any) {
	encoded, err := json.Marshal(data)
	if err != nil {
		return
	}
	if id != "" {
		_, _ = fmt.Fprintf(w, "id: %s\n", id)
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", encoded)
}
