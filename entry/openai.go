package entry

import (
	"encoding/json"
	"fmt"
	"strings"

	"acaciakeel/prefix"
)

// The client API is the subset of OpenAI's chat and text completions that routing
// needs.

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// textRequest is the body of POST /v1/completions.
type textRequest struct {
	Model         string        `json:"model"`
	Prompt        string        `json:"prompt"`
	MaxTokens     *int          `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// text returns a message's content, which is a string or a list of text parts.
func (m chatMessage) text() (string, error) {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", fmt.Errorf("content is neither a string nor a list of parts: %w", err)
	}
	var b strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return "", fmt.Errorf("content part of type %q; only text is served", part.Type)
		}
		b.WriteString(part.Text)
	}
	return b.String(), nil
}

// renderPrompt converts chat messages to the prompt text for the engine and records
// where each message ends. The assistant header follows the last message.
func renderPrompt(messages []chatMessage) (prefix.Prompt, error) {
	var p prefix.Prompt
	for i, m := range messages {
		text, err := m.text()
		if err != nil {
			return p, fmt.Errorf("messages[%d]: %w", i, err)
		}
		p.Text = append(p.Text, "<|"+m.Role+"|>\n"...)
		p.Text = append(p.Text, text...)
		p.Text = append(p.Text, '\n')
		p.Ends = append(p.Ends, len(p.Text))
	}
	p.Text = append(p.Text, "<|assistant|>\n"...)
	return p, nil
}

// usage holds the token counts of a completed response.
type usage struct {
	PromptTokens        int          `json:"prompt_tokens"`
	CompletionTokens    int          `json:"completion_tokens"`
	TotalTokens         int          `json:"total_tokens"`
	PromptTokensDetails usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// completionResponse is a complete response, or one chunk of a stream.
type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice is the single choice of a response. Message is set in a complete chat
// response, Delta in a chat chunk, Text in text completions.
type choice struct {
	Index        int          `json:"index"`
	Message      *chatContent `json:"message,omitempty"`
	Delta        *chatContent `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatContent struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// errorBody is an error in OpenAI's format with additional fields.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	// Outcome says whether the request ran: not_run, unknown or ran.
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id"`
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
