package answer

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/engine"
)

// Guards against assembling or resuming an answer that is more than the text of one
// choice.
func TestSingleText(t *testing.T) {
	for body, want := range map[string]bool{
		`{"messages":[{"role":"user","content":"a"}]}`:                               true,
		`{"prompt":"a","n":1,"logprobs":null,"tools":[]}`:                            true,
		`{"prompt":"a","n":2}`:                                                       false,
		`{"prompt":"a","logprobs":3}`:                                                false,
		`{"prompt":["a","b"]}`:                                                       false,
		`{"messages":[{"role":"user","content":"a"}],"tools":[{"type":"function"}]}`: false,
		`{"messages":[{"role":"user","content":[{"type":"image_url"}]}]}`:            false,
		`{"messages":[{"role":"user","content":"a"}],"logprobs":true}`:               false,
		`not json`: false,
	} {
		if got := Parse([]byte(body)).SingleText; got != want {
			t.Errorf("%s: SingleText = %v, want %v", body, got, want)
		}
	}
}

// Guards against prefix hashes that differ from those in the engines' cache events.
func TestPrefixMatchesEngine(t *testing.T) {
	prompt := strings.Repeat("0123456789abcdef", 80)
	body, err := json.Marshal(map[string]string{"prompt": prompt})
	if err != nil {
		t.Fatal(err)
	}
	r := Parse(body)
	if want := engine.PrefixHashes(prompt)[prefixBlocks-1]; r.PrefixHash != want || r.PrefixTokens != prefixBlocks*blockTokens {
		t.Errorf("prefix %x of %d tokens, want %x", r.PrefixHash, r.PrefixTokens, want)
	}
}

// Guards against a resumed stream that changes its identifier or counts only the
// tokens of its last attempt.
func TestResumedStream(t *testing.T) {
	var b Builder
	b.Add(port.Chunk{Data: []byte(`{"id":"first","choices":[]}`), Text: "ab", Tokens: 2})
	b.Add(port.Chunk{Data: []byte(`{"id":"second"}`), Text: "c", Tokens: 1, FinishReason: "stop"})
	var got struct {
		ID    string
		Usage Usage
	}
	if err := json.Unmarshal(b.RewriteEvent([]byte(`{"id":"second","usage":{"prompt_tokens":4,"completion_tokens":1,"total_tokens":5}}`)), &got); err != nil {
		t.Fatal(err)
	}
	if got.ID != "first" || got.Usage.CompletionTokens != 3 || got.Usage.TotalTokens != 7 {
		t.Errorf("rewritten event: %+v", got)
	}
	if r := b.Resume(); r.Text != "abc" || r.Tokens != 3 || !b.Finished() {
		t.Errorf("resume %+v, finished %v", r, b.Finished())
	}
}
