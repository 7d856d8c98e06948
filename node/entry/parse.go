package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

const (
	pathChat       = "/v1/chat/completions"
	pathCompletion = "/v1/completions"
)

// generation holds the fields of a model request that the listener needs.
type generation struct {
	Model  string
	Stream bool
}

// parseGeneration validates the body of a model request. Field names are
// case-sensitive, unlike those of structs in encoding/json, so that the listener
// and the backend server cannot read different fields.
func parseGeneration(path string, body []byte) (generation, error) {
	var g generation
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		reason := "the body is not a JSON object"
		if err != nil {
			reason += ": " + err.Error()
		}
		r := api.Invalid("body", "%s", reason)
		r.Code = api.CodeInvalidJSON
		return g, r
	}
	if err := json.Unmarshal(orNull(fields["model"]), &g.Model); err != nil || g.Model == "" {
		return g, api.Invalid("model", "a model name is required")
	}
	if raw, ok := fields["stream"]; ok {
		if err := json.Unmarshal(raw, &g.Stream); err != nil {
			return g, api.Invalid("stream", "stream is neither true nor false")
		}
	}
	if path == pathChat {
		var messages []json.RawMessage
		if err := json.Unmarshal(orNull(fields["messages"]), &messages); err != nil || len(messages) == 0 {
			return g, api.Invalid("messages", "a list of at least one message is required")
		}
	} else if raw := orNull(fields["prompt"]); bytes.Equal(raw, jsonNull) {
		return g, api.Invalid("prompt", "a prompt is required")
	}
	return g, nil
}

var jsonNull = []byte("null")

func orNull(raw json.RawMessage) json.RawMessage {
	if raw == nil {
		return jsonNull
	}
	return raw
}

// parseDeadline returns the deadline of a request from the header value, a
// number of milliseconds after its arrival.
func parseDeadline(value string, now time.Time, defaultTimeout, maxTimeout time.Duration) (time.Time, error) {
	if value == "" {
		return now.Add(defaultTimeout), nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return time.Time{}, api.Invalid(web.HeaderDeadline, "%q is not a number of milliseconds from 1 to %d", value, maxTimeout.Milliseconds())
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

// findModel returns a model if the workspace may use it.
func findModel(view *api.View, workspace, name string) (api.Model, error) {
	m, ok := view.Models[name]
	if !ok || !web.Allowed(m.Workspaces, workspace) {
		return m, &api.Refusal{Code: api.CodeModelNotFound, Status: http.StatusNotFound, Param: "model",
			Message: "the model " + strconv.Quote(name) + " does not exist or is not open to this workspace", Outcome: api.NotRun}
	}
	return m, nil
}
