// Package answer reads the parts of OpenAI-style requests that decide how they
// are dispatched, and builds whole answers from the chunks of streams.
package answer

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

const (
	// bytesPerToken is the usual size of a prompt token; only estimates depend
	// on it.
	bytesPerToken = 4
	// blockBytes is the unit of the engines' prefix caches and blockTokens its
	// tokens (docs/platform-protocols.md, section Engine).
	blockBytes  = 256
	blockTokens = 64
	// prefixBlocks bounds the prefix by which servers are compared. Requests of
	// one kind share their beginning, and a longer prefix would tell them apart.
	prefixBlocks = 4
	// shortOutput is the largest limit on the answer's length that is taken as
	// its expected length. Larger limits are seldom used up.
	shortOutput = 128
)

// Request is what is known about a request from its body.
type Request struct {
	PromptTokens int
	// OutputTokens is the expected length of the answer; zero when unknown.
	OutputTokens int
	PrefixHash   uint64
	PrefixTokens int
	// SingleText requests have one choice of plain text, so that their answer can be
	// continued and built from the text of its chunks.
	SingleText bool
	// IncludeUsage is set when the caller asked for usage at the end of a stream.
	IncludeUsage bool
}

type body struct {
	Prompt   json.RawMessage `json:"prompt"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	BestOf              *int            `json:"best_of"`
	Echo                bool            `json:"echo"`
	Logprobs            json.RawMessage `json:"logprobs"`
	Tools               json.RawMessage `json:"tools"`
	Functions           json.RawMessage `json:"functions"`
	Modalities          json.RawMessage `json:"modalities"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// Parse reads a request body. A body that it cannot read is described by its
// size alone; the engine decides whether it is valid.
func Parse(data []byte) Request {
	r := Request{PromptTokens: len(data)/bytesPerToken + 1}
	var b body
	if json.Unmarshal(data, &b) != nil {
		return r
	}
	r.IncludeUsage = b.StreamOptions.IncludeUsage
	if n := max(b.MaxTokens, b.MaxCompletionTokens); n > 0 && n <= shortOutput {
		r.OutputTokens = n
	}
	prompt, plain := b.prompt()
	one := func(n *int) bool { return n == nil || *n <= 1 }
	r.SingleText = plain && one(b.N) && one(b.BestOf) && !b.Echo && empty(b.Logprobs) && empty(b.Tools) && empty(b.Functions) && empty(b.Modalities)
	if !plain {
		return r
	}
	r.PromptTokens = len(prompt)/bytesPerToken + 1
	if blocks := min(len(prompt)/blockBytes, prefixBlocks); blocks > 0 {
		r.PrefixHash, r.PrefixTokens = xxhash.Sum64String(prompt[:blocks*blockBytes]), blocks*blockTokens
	}
	return r
}

// prompt returns the bytes on which the prefix caches work; false when the
// prompt is not plain text.
func (b *body) prompt() (string, bool) {
	var text string
	if len(b.Messages) == 0 {
		return text, json.Unmarshal(b.Prompt, &text) == nil
	}
	var out strings.Builder
	for _, m := range b.Messages {
		if json.Unmarshal(m.Content, &text) != nil {
			return "", false
		}
		out.WriteString(m.Role)
		out.WriteByte('\n')
		out.WriteString(text)
		out.WriteByte('\n')
	}
	return out.String(), true
}

func empty(v json.RawMessage) bool {
	switch string(v) {
	case "", "null", "false", "[]", "0":
		return true
	}
	return false
}

// Builder collects the text of a simple answer over one or more attempts.
// The zero value is ready to use.
type Builder struct {
	text   strings.Builder
	tokens int
	finish string
	head   head
	named  bool
	prompt int
	cached int
}

type head struct {
	ID          string          `json:"id"`
	Object      string          `json:"object"`
	Created     int64           `json:"created"`
	Model       string          `json:"model"`
	Fingerprint json.RawMessage `json:"system_fingerprint,omitempty"`
}

// Add takes one chunk.
func (b *Builder) Add(c port.Chunk) {
	if !b.named && len(c.Data) > 0 {
		b.named = json.Unmarshal(c.Data, &b.head) == nil
	}
	b.text.WriteString(c.Text)
	b.tokens += c.Tokens
	if c.FinishReason != "" {
		b.finish = c.FinishReason
	}
}

// Tokens returns the tokens so far.
func (b *Builder) Tokens() int { return b.tokens }

// Finished reports whether the last chunk of the answer was there.
func (b *Builder) Finished() bool { return b.finish != "" }

// ID returns the answer's identifier, that of its first chunk.
func (b *Builder) ID() string { return b.head.ID }

// Resume returns what a server needs to continue the answer, nil at its start.
func (b *Builder) Resume() *port.Resume {
	if b.tokens == 0 {
		return nil
	}
	return &port.Resume{Text: b.text.String(), Tokens: b.tokens}
}

// SetResult takes the result of the attempt that completed the answer. Its output
// tokens are those of the attempt alone, so the sum of the chunks counts.
func (b *Builder) SetResult(r *port.GenerateResult) {
	b.prompt, b.cached = r.PromptTokens, r.CachedTokens
	if b.finish == "" {
		b.finish = r.FinishReason
	}
}

// Usage is the token count of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	Logprobs     any      `json:"logprobs"`
	FinishReason string   `json:"finish_reason"`
}

// Body returns the whole answer to a request with the path.
func (b *Builder) Body(path string) ([]byte, error) {
	out := struct {
		head
		Choices []choice `json:"choices"`
		Usage   Usage    `json:"usage"`
	}{head: b.head}
	text := b.text.String()
	c := choice{FinishReason: b.finish}
	if path == "/v1/chat/completions" {
		out.Object, c.Message = "chat.completion", &message{Role: "assistant", Content: text}
	} else {
		out.Object, c.Text = "text_completion", &text
	}
	if !b.named {
		out.Created = time.Now().Unix()
	}
	out.Choices = []choice{c}
	out.Usage = Usage{PromptTokens: b.prompt, CompletionTokens: b.tokens, TotalTokens: b.prompt + b.tokens}
	out.Usage.Details.CachedTokens = b.cached
	return json.Marshal(out)
}

// RewriteEvent turns an event of a later attempt into one of the first attempt's
// stream: it carries the first attempt's identifier, and usage counts the
// tokens of all attempts. An event that it cannot read is returned unchanged.
func (b *Builder) RewriteEvent(data []byte) []byte {
	members := map[string]json.RawMessage{}
	if json.Unmarshal(data, &members) != nil {
		return data
	}
	if id, err := json.Marshal(b.head.ID); err == nil && b.named {
		members["id"] = id
	}
	if raw, ok := members["usage"]; ok && string(raw) != "null" {
		var u Usage
		if json.Unmarshal(raw, &u) == nil {
			u.CompletionTokens, u.TotalTokens = b.tokens, u.PromptTokens+b.tokens
			if fixed, err := json.Marshal(u); err == nil {
				members["usage"] = fixed
			}
		}
	}
	if out, err := json.Marshal(members); err == nil {
		return out
	}
	return data
}

// EventKind says what an event of a stream is.
type EventKind uint8

// The kinds of event.
const (
	// Content carries text, tokens or the end of the answer.
	Content EventKind = iota
	// RoleOnly carries nothing but the role.
	RoleOnly
	// UsageOnly carries the usage and no choice.
	UsageOnly
)

// ClassifyChunk returns what a chunk is.
func ClassifyChunk(c port.Chunk) EventKind {
	if c.Text != "" || c.Tokens > 0 || c.FinishReason != "" {
		return Content
	}
	var e struct {
		Choices []struct {
			Delta map[string]json.RawMessage `json:"delta"`
		} `json:"choices"`
		Usage json.RawMessage `json:"usage"`
	}
	if json.Unmarshal(c.Data, &e) != nil {
		return Content
	}
	if len(e.Choices) == 0 && len(e.Usage) > 0 && string(e.Usage) != "null" {
		return UsageOnly
	}
	for _, ch := range e.Choices {
		for name := range ch.Delta {
			if name != "role" && name != "content" {
				return Content
			}
		}
	}
	return RoleOnly
}
