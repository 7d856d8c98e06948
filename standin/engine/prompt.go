package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Sizes of tokens and cache blocks.
const (
	// BytesPerToken is the size of a prompt token.
	BytesPerToken = 4
	// BlockBytes is the size of a block of the prefix cache, 64 tokens.
	BlockBytes = 64 * BytesPerToken
)

// Answer is the complete answer to a request.
type Answer struct {
	Text         string
	Tokens       int
	PromptTokens int
	FinishReason string
}

// request is the body of a completion request.
type request struct {
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens           int  `json:"max_tokens"`
	MaxCompletionTokens int  `json:"max_completion_tokens"`
	Stream              bool `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Resume *struct {
		Text   string `json:"text"`
		Tokens int    `json:"tokens"`
	} `json:"resume"`
}

func parseRequest(body []byte) (*request, error) {
	r := new(request)
	if err := json.Unmarshal(body, r); err != nil {
		return nil, err
	}
	if r.Prompt == "" && len(r.Messages) == 0 {
		return nil, errors.New("the request has no prompt and no messages")
	}
	if r.MaxTokens < 0 || r.MaxCompletionTokens < 0 {
		return nil, errors.New("max_tokens is negative")
	}
	return r, nil
}

// prompt returns the text that the prefix cache hashes: the prompt, or for each message its
// role, a newline, its content and a newline.
func (r *request) prompt() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return b.String()
}

// answer returns the complete answer to a prompt. Its length is outputTokens if max_tokens
// does not limit it.
func (r *request) answer(prompt string, outputTokens int) Answer {
	a := Answer{Tokens: outputTokens, FinishReason: "stop", PromptTokens: (len(prompt) + BytesPerToken - 1) / BytesPerToken}
	limit := max(r.MaxTokens, r.MaxCompletionTokens)
	if limit > 0 && limit < outputTokens {
		a.Tokens, a.FinishReason = limit, "length"
	}
	a.Text = generateText(prompt, 0, a.Tokens)
	return a
}

var syllables = [16]string{"ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "ve"}

// generateText returns the tokens [from, to) of the answer to a prompt. A token is a word of
// three syllables and a space, which depends only on the prompt and the token's position.
func generateText(prompt string, from, to int) string {
	seed := xxhash.Sum64String(prompt)
	var b strings.Builder
	for i := from; i < to; i++ {
		h := (seed + uint64(i)*0x9e3779b97f4a7c15) // the increment of splitmix64, from the golden ratio
		h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
		h = (h ^ h>>27) * 0x94d049bb133111eb
		h ^= h >> 31
		b.WriteString(syllables[h&15] + syllables[h>>4&15] + syllables[h>>8&15] + " ")
	}
	return b.String()
}

// ExpectedAnswer returns the complete answer of an engine with the given
// Options.OutputTokens to a request body. Tests compare it with what a caller received.
func ExpectedAnswer(body []byte, outputTokens int) (Answer, error) {
	r, err := parseRequest(body)
	if err != nil {
		return Answer{}, err
	}
	return r.answer(r.prompt(), Options{OutputTokens: outputTokens}.withDefaults().OutputTokens), nil
}

// Fingerprint returns a hash that identifies a request in all its dispatches. It covers the
// JSON body with sorted members, without the members that a dispatch can set: stream,
// stream_options and resume.
func Fingerprint(body []byte) (string, error) {
	members := make(map[string]any)
	if err := json.Unmarshal(body, &members); err != nil {
		return "", err
	}
	for _, m := range []string{"stream", "stream_options", "resume"} {
		delete(members, m)
	}
	canonical, err := json.Marshal(members)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(canonical)), nil
}

// PrefixHashes returns the hashes of the prefixes of a prompt that consist of complete
// blocks, the shortest first. Cache events contain the same hashes.
func PrefixHashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/BlockBytes)
	digest := xxhash.New()
	for end := BlockBytes; end <= len(prompt); end += BlockBytes {
		digest.WriteString(prompt[end-BlockBytes : end])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
