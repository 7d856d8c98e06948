// Package answer parses the fields of OpenAI-style requests that affect dispatch,
// and assembles complete answers from the chunks of a stream.
package answer

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

const (
	// bytesPerToken is the typical size of a prompt token. It is used for
	// estimates only.
	bytesPerToken = 4
	// blockBytes is the block size of the engines' prefix caches and blockTokens
	// the number of tokens in a block (docs/platform-protocols.md, section Engine).
	blockBytes  = 256
	blockTokens = 64
	// prefixBlocks is the maximum length, in blocks, of the prefix whose hash is
	// compared with the servers' caches. Similar requests have only the beginning of
	// their prompts in common; the hashes of longer prefixes would differ.
	prefixBlocks = 4
	// maxExpectedOutputTokens is the largest token limit of a request that is used as
	// the expected length of its answer. Answers seldom reach larger limits.
	maxExpectedOutputTokens = 128
)

// Request holds the properties of a request that are derived from its body.
type Request struct {
	PromptTokens int
	// OutputTokens is the expected length of the answer; zero when unknown.
	OutputTokens int
	// PrefixHash is the hash of the first PrefixTokens tokens of the prompt; zero
	// when the prompt is shorter than a block or not plain text.
	PrefixHash   uint64
	PrefixTokens int
	// SingleText is set when the answer is a single choice of plain text, which can be
	// assembled from the text of its chunks and resumed on another server.
	SingleText bool
	// IncludeUsage is set when the caller asked for the usage at the end of a stream.
	IncludeUsage bool
}

type requestBody struct {
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

// Parse parses a request body. If that fails, it only estimates PromptTokens from the
// size of the body; whether the body is valid is left to the engine.
func Parse(data []byte) Request {
	r := Request{PromptTokens: len(data)/bytesPerToken + 1}
	var b requestBody
	if json.Unmarshal(data, &b) != nil {
		return r
	}
	r.IncludeUsage = b.StreamOptions.IncludeUsage
	if n := max(b.MaxTokens, b.MaxCompletionTokens); n > 0 && n <= maxExpectedOutputTokens {
		r.OutputTokens = n
	}
	prompt, isText := b.prompt()
	atMostOne := func(n *int) bool { return n == nil || *n <= 1 }
	r.SingleText = isText && atMostOne(b.N) && atMostOne(b.BestOf) && !b.Echo && isUnset(b.Logprobs) && isUnset(b.Tools) && isUnset(b.Functions) && isUnset(b.Modalities)
	if !isText {
		return r
	}
	r.PromptTokens = len(prompt)/bytesPerToken + 1
	if blocks := min(len(prompt)/blockBytes, prefixBlocks); blocks > 0 {
		r.PrefixHash, r.PrefixTokens = xxhash.Sum64String(prompt[:blocks*blockBytes]), blocks*blockTokens
	}
	return r
}

// prompt returns the prompt in the form that the engines hash for their prefix caches,
// or false when it is not plain text.
func (b *requestBody) prompt() (string, bool) {
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

// isUnset reports whether an optional field is missing or has a value that turns its
// feature off.
func isUnset(v json.RawMessage) bool {
	switch string(v) {
	case "", "null", "false", "[]", "0":
		return true
	}
	return false
}

// Builder assembles an answer with a single text choice from the chunks of one or
// more attempts. The zero value is ready to use.
type Builder struct {
	text         strings.Builder
	tokens       int
	finishReason string
	head         answerHead
	haveHead     bool
	promptTokens int
	cachedTokens int
}

// answerHead holds the fields that an answer takes from its first chunk.
type answerHead struct {
	ID                string          `json:"id"`
	Object            string          `json:"object"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint json.RawMessage `json:"system_fingerprint,omitempty"`
}

// Add adds a chunk to the answer.
func (b *Builder) Add(c port.Chunk) {
	if !b.haveHead && len(c.Data) > 0 {
		b.haveHead = json.Unmarshal(c.Data, &b.head) == nil
	}
	b.text.WriteString(c.Text)
	b.tokens += c.Tokens
	if c.FinishReason != "" {
		b.finishReason = c.FinishReason
	}
}

// Tokens returns the number of output tokens received.
func (b *Builder) Tokens() int { return b.tokens }

// Finished reports whether a finish reason was received.
func (b *Builder) Finished() bool { return b.finishReason != "" }

// ID returns the identifier of the answer, which is that of its first chunk.
func (b *Builder) ID() string { return b.head.ID }

// Resume returns the state from which another attempt can continue the answer, or nil
// when no tokens were received.
func (b *Builder) Resume() *port.Resume {
	if b.tokens == 0 {
		return nil
	}
	return &port.Resume{Text: b.text.String(), Tokens: b.tokens}
}

// SetResult stores the result of the attempt that completed the answer. The output
// tokens of the result are ignored, because they cover that attempt only; Body uses the
// number counted from all chunks.
func (b *Builder) SetResult(r *port.GenerateResult) {
	b.promptTokens, b.cachedTokens = r.PromptTokens, r.CachedTokens
	if b.finishReason == "" {
		b.finishReason = r.FinishReason
	}
}

// Usage holds the token counts of an answer.
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

// Body returns the JSON body of the complete answer to a request for path.
func (b *Builder) Body(path string) ([]byte, error) {
	out := struct {
		answerHead
		Choices []choice `json:"choices"`
		Usage   Usage    `json:"usage"`
	}{answerHead: b.head}
	text := b.text.String()
	c := choice{FinishReason: b.finishReason}
	if path == "/v1/chat/completions" {
		out.Object, c.Message = "chat.completion", &message{Role: "assistant", Content: text}
	} else {
		out.Object, c.Text = "text_completion", &text
	}
	if !b.haveHead {
		out.Created = time.Now().Unix()
	}
	out.Choices = []choice{c}
	out.Usage = Usage{PromptTokens: b.promptTokens, CompletionTokens: b.tokens, TotalTokens: b.promptTokens + b.tokens}
	out.Usage.Details.CachedTokens = b.cachedTokens
	return json.Marshal(out)
}

// RewriteEvent rewrites an event of a later attempt so that it continues the stream
// of the first: it gets the identifier of the first attempt, and its usage counts
// the tokens of all attempts. An event that cannot be parsed is returned unchanged.
func (b *Builder) RewriteEvent(data []byte) []byte {
	members := map[string]json.RawMessage{}
	if json.Unmarshal(data, &members) != nil {
		return data
	}
	if id, err := json.Marshal(b.head.ID); err == nil && b.haveHead {
		members["id"] = id
	}
	if raw, ok := members["usage"]; ok && string(raw) != "null" {
		var u Usage
		if json.Unmarshal(raw, &u) == nil {
			u.CompletionTokens, u.TotalTokens = b.tokens, u.PromptTokens+b.tokens
			if encoded, err := json.Marshal(u); err == nil {
				members["usage"] = encoded
			}
		}
	}
	if out, err := json.Marshal(members); err == nil {
		return out
	}
	return data
}

// EventKind classifies an event of a stream.
type EventKind uint8

const (
	// Content has text, tokens, a finish reason or anything unrecognized.
	Content EventKind = iota
	// RoleOnly has deltas that hold at most the role and empty content.
	RoleOnly
	// UsageOnly has the usage and no choices.
	UsageOnly
)

// ClassifyChunk returns the kind of the event that a chunk was parsed from.
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
