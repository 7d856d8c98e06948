package engine

import (
	"encoding/json"
	"net/http"

	"github.com/jacinthnotch/jacinthnotch/standin/kit"
)

type usage struct{ prompt, completion, cached int }

func (u usage) json() map[string]any {
	return map[string]any{
		"prompt_tokens": u.prompt, "completion_tokens": u.completion, "total_tokens": u.prompt + u.completion,
		"prompt_tokens_details": map[string]int{"cached_tokens": u.cached},
	}
}

// writer writes an answer in the OpenAI-style formats.
type writer struct {
	w       http.ResponseWriter
	req     *request
	path    string
	id      string
	finish  string
	started bool
}

func (o *writer) chat() bool { return o.path == "/v1/chat/completions" }

func (o *writer) object(stream bool) map[string]any {
	object := "text_completion"
	switch {
	case o.chat() && stream:
		object = "chat.completion.chunk"
	case o.chat():
		object = "chat.completion"
	}
	// The creation time is constant, so that equal requests get equal answers.
	return map[string]any{"id": o.id, "object": object, "created": 0, "model": o.req.Model}
}

func (o *writer) choice(text string, finish any) []map[string]any {
	c := map[string]any{"index": 0, "finish_reason": finish}
	if o.chat() {
		c["delta"] = map[string]string{"content": text}
	} else {
		c["text"] = text
	}
	return []map[string]any{c}
}

// event writes one server-sent event.
func (o *writer) event(v any) {
	if !o.started {
		o.started = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-cache")
	}
	data, err := json.Marshal(v)
	if err != nil {
		return // cannot happen: the values are maps of plain types
	}
	// An error means that the peer is gone; the request's context ends then.
	_, _ = o.w.Write(append(append([]byte("data: "), data...), "\n\n"...))
	_ = http.NewResponseController(o.w).Flush()
}

func (o *writer) chunk(text string, tokens int) {
	v := o.object(true)
	v["choices"], v["tokens"] = o.choice(text, nil), tokens
	o.event(v)
}

// end finishes the answer; text is the whole generated text of this run.
func (o *writer) end(text string, u usage) {
	if o.req.Stream {
		v := o.object(true)
		v["choices"], v["tokens"] = o.choice("", o.finish), 0
		o.event(v)
		if o.req.StreamOptions.IncludeUsage {
			v := o.object(true)
			v["choices"], v["usage"], v["tokens"] = []any{}, u.json(), 0
			o.event(v)
		}
		_, _ = o.w.Write([]byte("data: [DONE]\n\n")) // the peer may be gone
		return
	}
	v := o.object(false)
	c := map[string]any{"index": 0, "finish_reason": o.finish}
	if o.chat() {
		c["message"] = map[string]string{"role": "assistant", "content": text}
	} else {
		c["text"] = text
	}
	v["choices"], v["usage"] = []any{c}, u.json()
	kit.WriteJSON(o.w, http.StatusOK, v)
}
