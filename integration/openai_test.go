package integration

import (
	"context"
	"errors"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"acaciakeel/internal/standin/engine"
)

// A caller who changes only the base URL of a well-known client must get
// answers, streams and errors that the client understands.
func TestOpenAIClient(t *testing.T) {
	f := newFleet(t, fleetOptions{runners: 1, services: 1, entries: 1})
	client := openai.NewClient(
		option.WithBaseURL(f.direct("entry-0")+"/v1"),
		option.WithAPIKey(customerKey(0)),
		option.WithMaxRetries(0),
	)
	ctx := context.Background()
	params := openai.ChatCompletionNewParams{
		Model:     model,
		MaxTokens: openai.Int(8),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
	want := engine.Text("v1", "", "<|user|>\nhello\n<|assistant|>\n", 8)

	whole, err := client.Chat.Completions.New(ctx, params)
	if err != nil {
		t.Fatal(err)
	}
	if got := whole.Choices[0].Message.Content; got != want {
		t.Errorf("whole answer %q, want %q", got, want)
	}
	if whole.Usage.CompletionTokens != 8 {
		t.Errorf("usage %+v", whole.Usage)
	}

	stream := client.Chat.Completions.NewStreaming(ctx, params)
	got := ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			got += choice.Delta.Content
		}
	}
	if stream.Err() != nil || got != want {
		t.Errorf("stream %q, error %v", got, stream.Err())
	}

	models, err := client.Models.List(ctx)
	if err != nil || len(models.Data) != 2 || models.Data[0].ID != model {
		t.Errorf("models %+v, error %v", models, err)
	}

	params.Model = "no-such-model"
	_, err = client.Chat.Completions.New(ctx, params)
	var refused *openai.Error
	if !errors.As(err, &refused) || refused.StatusCode != 404 || refused.Code != "unknown_model" {
		t.Errorf("unknown model: %v", err)
	}
}
