package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"acaciakeel/refusal"
	"acaciakeel/stream"
)

// encodeCompletion writes the response to a completion request: a stream of
// server-sent events, or one JSON object.
func (e *Entry) encodeCompletion(ctx context.Context, w http.ResponseWriter, response any) error {
	r := response.(*completionReply)
	w.Header().Set(headerRequestID, r.modelRequest.requestID)
	if r.request.stream {
		e.writeStream(ctx, w, r)
		return nil
	}
	return e.writeJSON(ctx, w, r)
}

// forEachEvent calls handle with every event of the reply. It returns the reason if
// the stream was interrupted. It also updates the token metrics and ends the request
// in the contract.
func (e *Entry) forEachEvent(r *completionReply, handle func(streamEvent)) *refusal.Error {
	tokens := 0
	endRequest := sync.OnceFunc(func() { r.endRequest(tokens) })
	defer endRequest()
	finished := false
	process := func(ev streamEvent) {
		if ev.finish != nil {
			finished = true
			e.recordPromptTokens(ev.finish)
			// The client may send its next request as soon as it has the last event.
			endRequest()
		} else {
			tokens++
		}
		handle(ev)
	}
	process(r.firstEvent)
	for ev := range r.session.events {
		process(ev)
	}
	e.metrics.tokens.WithLabelValues(r.modelRequest.customer).Add(float64(tokens))
	if finished {
		return nil
	}
	return refusal.From(r.session.endError())
}

func (e *Entry) recordPromptTokens(f *stream.Finish) {
	e.metrics.promptTokens.WithLabelValues("yes").Add(float64(f.CachedTokens))
	e.metrics.promptTokens.WithLabelValues("no").Add(float64(max(0, f.PromptTokens-f.CachedTokens)))
}

func (e *Entry) writeJSON(ctx context.Context, w http.ResponseWriter, r *completionReply) error {
	var text strings.Builder
	var finish *stream.Finish
	err := e.forEachEvent(r, func(ev streamEvent) {
		text.WriteString(ev.text)
		finish = ev.finish
	})
	if err != nil {
		e.encodeError(ctx, err, w)
		return nil
	}
	response := r.newResponse()
	response.Usage = newUsage(finish)
	content := text.String()
	if r.request.isChat {
		response.Object = "chat.completion"
		response.Choices = []choice{{Message: &chatContent{Role: "assistant", Content: content}, FinishReason: &finish.Reason}}
	} else {
		response.Choices = []choice{{Text: &content, FinishReason: &finish.Reason}}
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(response)
}

func (r *completionReply) newResponse() completionResponse {
	response := completionResponse{
		ID:      r.modelRequest.requestID,
		Object:  "text_completion",
		Created: r.modelRequest.received.Unix(),
		Model:   r.request.model,
	}
	if r.request.isChat {
		response.Object = "chat.completion.chunk"
	}
	return response
}

func newUsage(f *stream.Finish) *usage {
	return &usage{
		PromptTokens:        f.PromptTokens,
		CompletionTokens:    f.CompletionTokens,
		TotalTokens:         f.PromptTokens + f.CompletionTokens,
		PromptTokensDetails: usageDetails{CachedTokens: f.CachedTokens},
	}
}

// writeStream writes each event when it arrives. An interrupted stream ends with an
// error event and without [DONE], so that clients can tell that it is incomplete.
func (e *Entry) writeStream(_ context.Context, w http.ResponseWriter, r *completionReply) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	out := http.NewResponseController(w)
	err := e.forEachEvent(r, func(ev streamEvent) {
		chunk := r.newResponse()
		if ev.finish == nil {
			chunk.Choices = []choice{r.delta(ev)}
		} else {
			chunk.Choices = []choice{r.finalDelta(ev.finish)}
		}
		writeEvent(w, ev.id, chunk)
		if ev.finish != nil && r.request.includeUsage {
			chunk.Choices = []choice{}
			chunk.Usage = newUsage(ev.finish)
			writeEvent(w, ev.id, chunk)
		}
		_ = out.Flush()
	})
	if err != nil {
		e.metrics.refusals.WithLabelValues(string(err.Kind)).Inc()
		writeEvent(w, "", newErrorBody(err, r.modelRequest.requestID))
		return
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (r *completionReply) delta(ev streamEvent) choice {
	if !r.request.isChat {
		return choice{Text: &ev.text}
	}
	c := &chatContent{Content: ev.text}
	if ev.offset == 0 {
		c.Role = "assistant"
	}
	return choice{Delta: c}
}

func (r *completionReply) finalDelta(f *stream.Finish) choice {
	if !r.request.isChat {
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
