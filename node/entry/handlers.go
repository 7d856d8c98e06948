package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

const callsPrefix = "/v1/calls/"

// generate serves POST /v1/chat/completions and POST /v1/completions.
func (s *Server) generate(c fiber.Ctx, r web.Request) error {
	cl, body, err := s.newCall(c, r)
	if err != nil {
		return err
	}
	path := strings.Clone(c.Path())
	g, err := parseGeneration(path, body)
	if err != nil {
		return err
	}
	if _, err := findModel(r.View, r.Workspace, g.Model); err != nil {
		return err
	}
	cl.fingerprint = ident.Fingerprint(http.MethodPost, path, body)
	cl.stream = g.Stream
	req := &api.InferenceRequest{ID: r.ID, Workspace: r.Workspace, Model: g.Model, Path: path, Body: body, Stream: g.Stream,
		Idempotent: !cl.nonIdempotent, Deadline: cl.deadline, Fingerprint: cl.fingerprint}
	cl.run = func(ctx context.Context, sink api.Sink) (*api.Answer, error) {
		return filterAnswerHeaders(s.opts.Inference.Run(ctx, req, sink))
	}
	if g.Stream {
		return s.serveStream(c, cl)
	}
	return s.serveNonStreaming(c, cl)
}

// newCall parses the headers and reads the body of a model or plain-service
// request.
func (s *Server) newCall(c fiber.Ctx, r web.Request) (*call, []byte, error) {
	cl := &call{workspace: r.Workspace}
	var err error
	if cl.key, err = web.IdempotencyKey(c); err != nil {
		return nil, nil, err
	}
	if cl.nonIdempotent, err = web.NonIdempotent(c); err != nil {
		return nil, nil, err
	}
	cl.deadline, err = parseDeadline(c.Get(web.HeaderDeadline), time.Now(), s.opts.Limits.DefaultDeadline, s.opts.Limits.MaxDeadline)
	if err != nil {
		return nil, nil, err
	}
	body, err := web.ReadBody(c, s.bodyLimits(r.View))
	return cl, body, err
}

// serveNonStreaming runs a call and sends its complete answer.
func (s *Server) serveNonStreaming(c fiber.Ctx, cl *call) error {
	ctx, cancel := context.WithDeadline(s.baseCtx, cl.deadline)
	defer cancel()
	if cl.key == "" {
		// A keyed call continues after its caller disconnects, until its answer is
		// recorded.
		stop := web.WatchDisconnect(c, cancel)
		defer stop()
	}
	return writeResponse(c, cl, s.perform(ctx, cl, nil))
}

// writeResponse writes a complete answer, or returns the error for the error
// handler.
func writeResponse(c fiber.Ctx, cl *call, resp response) error {
	if cl.key != "" {
		c.Set(web.HeaderRecorded, "false")
		if resp.recorded {
			c.Set(web.HeaderRecorded, "true")
		}
	}
	if resp.err != nil {
		return resp.err
	}
	c.Set(web.HeaderOutcome, string(api.Ran))
	writeAnswer(c, resp.answer)
	return nil
}

// singleValueHeaders are headers that this listener sets and that a header of
// the answer replaces.
var singleValueHeaders = []string{web.HeaderOutcome, web.HeaderRequestID, fiber.HeaderContentType}

func writeAnswer(c fiber.Ctx, a *api.Answer) {
	h := &c.Response().Header
	for _, field := range a.Headers {
		switch {
		case slices.ContainsFunc(singleValueHeaders, func(n string) bool { return strings.EqualFold(n, field.Name) }):
			h.Set(field.Name, field.Value)
		default:
			h.Add(field.Name, field.Value)
		}
	}
	c.Response().SetStatusCode(a.Status)
	c.Response().SetBody(a.Body)
}

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModelObject(m api.Model) modelObject {
	return modelObject{ID: m.Name, Object: "model", Created: m.Created, OwnedBy: m.OwnedBy}
}

// listModels serves GET /v1/models.
func (s *Server) listModels(c fiber.Ctx, r web.Request) error {
	list := struct {
		Object string        `json:"object"`
		Data   []modelObject `json:"data"`
	}{"list", []modelObject{}}
	for _, m := range r.View.Models {
		if web.Allowed(m.Workspaces, r.Workspace) {
			list.Data = append(list.Data, newModelObject(m))
		}
	}
	slices.SortFunc(list.Data, func(a, b modelObject) int { return strings.Compare(a.ID, b.ID) })
	return c.JSON(list)
}

// getModel serves GET /v1/models/{model}.
func (s *Server) getModel(c fiber.Ctx, r web.Request) error {
	name, err := pathTail(c, "/v1/models/")
	if err != nil {
		return err
	}
	m, err := findModel(r.View, r.Workspace, name)
	if err != nil {
		return err
	}
	return c.JSON(newModelObject(m))
}

// pathTail returns the percent-decoded part of the path after prefix.
func pathTail(c fiber.Ctx, prefix string) (string, error) {
	raw := strings.TrimPrefix(string(c.Request().URI().PathOriginal()), prefix)
	tail, err := url.PathUnescape(raw)
	if err != nil {
		return "", api.Invalid("path", "the path has a malformed percent encoding")
	}
	return tail, nil
}

type callObject struct {
	Object     string        `json:"object"`
	Key        string        `json:"key"`
	Status     string        `json:"status"`
	Outcome    api.Outcome   `json:"outcome,omitempty"`
	Recorded   bool          `json:"recorded"`
	FinishedAt int64         `json:"finished_at,omitempty"`
	Response   *callResponse `json:"response"`
}

type callResponse struct {
	StatusCode int               `json:"status_code"`
	Headers    map[string]string `json:"headers"`
	// Body is the JSON body, or a string when the body is not JSON.
	Body any `json:"body"`
}

// getCall serves GET /v1/calls/{key}.
func (s *Server) getCall(c fiber.Ctx, r web.Request) error {
	key, err := pathTail(c, callsPrefix)
	if err != nil {
		return err
	}
	if !web.ValidIdempotencyKey(key) {
		return api.Invalid("key", "the key has 1 to %d printable ASCII characters", web.MaxIdempotencyKeyBytes)
	}
	ctx, cancel := context.WithTimeout(s.baseCtx, s.opts.Limits.ReadTimeout)
	defer cancel()
	res, err := s.opts.Calls.Lookup(ctx, r.Workspace, key)
	if err != nil {
		return err
	}
	object := callObject{Object: "call", Key: key, Status: "running"}
	switch {
	case res.State == api.StateUnknown:
		object.Status, object.Outcome = "unknown", api.Unknown
	case res.State == api.StateDone && res.Result != nil:
		object.Status, object.Outcome, object.Recorded = "done", res.Result.Outcome, true
		if object.Outcome == api.Unknown {
			object.Status = "unknown"
		}
		object.FinishedAt = res.Result.FinishedAt.Unix()
		object.Response = newCallResponse(&res.Result.Answer)
	}
	return c.JSON(object)
}

func newCallResponse(a *api.Answer) *callResponse {
	resp := &callResponse{StatusCode: a.Status, Headers: make(map[string]string, len(a.Headers)), Body: string(a.Body)}
	for _, h := range a.Headers {
		resp.Headers[h.Name] = h.Value
	}
	if json.Valid(a.Body) {
		resp.Body = json.RawMessage(a.Body)
	}
	return resp
}
