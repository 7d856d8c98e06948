package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/kit"
)

// breakMode is the fault that hits one request.
type breakMode int

const (
	breakNone breakMode = iota
	breakFail
	breakClose
	breakLose
	breakCut
	breakSilent
)

func writeError(w http.ResponseWriter, status int, code, message string) {
	kit.WriteJSON(w, status, map[string]any{"error": map[string]any{
		"type": "engine_error", "code": code, "message": message, "param": nil,
	}})
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o port.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_order", err.Error())
		return
	}
	var refused *orderError
	if err := e.Order(o); errors.As(err, &refused) {
		writeError(w, refused.status, "order_refused", refused.reason)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_after", err.Error())
		return
	}
	e.mu.Lock()
	page := e.cache.after(after, e.opts.Clock.Now(), e.faults.EventDelay.Std())
	e.mu.Unlock()
	kit.WriteJSON(w, http.StatusOK, page)
}

// pick decides which fault hits a request; the caller holds the lock.
func (e *Engine) pick() breakMode {
	e.arrivals++
	f := &e.faults
	switch {
	case f.Outage || kit.FaultApplies(&f.FailNext, f.FailEvery, e.arrivals):
		return breakFail
	case kit.FaultApplies(&f.CloseNext, 0, e.arrivals):
		return breakClose
	case kit.FaultApplies(&f.LoseNext, 0, e.arrivals):
		return breakLose
	case kit.FaultApplies(&f.CutNext, 0, e.arrivals):
		return breakCut
	case kit.FaultApplies(&f.SilentNext, 0, e.arrivals):
		return breakSilent
	}
	return breakNone
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
		return
	}
	req, err := parse(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	fingerprint, err := Fingerprint(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	prompt := req.prompt()
	answer := req.answer(prompt, e.opts.OutputTokens)
	s := &sequence{
		prompt: prompt, prefixes: PrefixHashes(prompt), fingerprint: fingerprint, id: r.Header.Get("X-Request-Id"),
		to: answer.Tokens, reserved: answer.PromptTokens + answer.Tokens, changed: make(chan struct{}, 1),
	}
	if res := req.Resume; res != nil {
		if res.Tokens < 0 || res.Tokens > answer.Tokens || generate(prompt, 0, res.Tokens) != res.Text {
			writeError(w, http.StatusBadRequest, "resume_mismatch", "the resumed text is not the beginning of this answer")
			return
		}
		s.from, s.produced = res.Tokens, res.Tokens
	}
	mode, status, code := e.enqueue(req, s)
	switch {
	case status != 0:
		writeError(w, status, code, "the engine refuses the request")
	case mode == breakClose:
		panic(http.ErrAbortHandler) // closes the connection
	default:
		e.answer(w, r, req, s, answer, mode)
	}
}

// enqueue adds the request to the waiting ones unless it is refused.
func (e *Engine) enqueue(req *request, s *sequence) (mode breakMode, status int, code string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	mode = e.pick()
	switch {
	case mode == breakFail:
		return mode, http.StatusServiceUnavailable, "unavailable"
	case mode == breakClose || e.down:
		return breakClose, 0, ""
	case strings.Contains(s.prompt, RefuseMark):
		return mode, http.StatusUnprocessableEntity, "content_refused"
	case e.replacing:
		return mode, http.StatusServiceUnavailable, "loading"
	case !e.serves(req.Model):
		return mode, http.StatusNotFound, "model_not_found"
	case s.reserved > e.opts.KVTokens:
		return mode, http.StatusBadRequest, "context_length_exceeded"
	}
	e.waiting = append(e.waiting, s)
	e.signal()
	return mode, 0, ""
}

// answer waits for the tokens and writes them.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, req *request, s *sequence, a Answer, mode breakMode) {
	defer e.cancel(s)
	out := &writer{w: w, req: req, path: r.URL.Path, id: "gen-" + s.fingerprint, finish: a.FinishReason}
	e.mu.Lock()
	limit := s.from + e.faults.BreakAfter
	e.mu.Unlock()
	sent := s.from
	for {
		e.mu.Lock()
		produced, aborted, cached := s.produced, s.aborted, s.cached
		ended := s.produced >= s.to && s.gone
		e.mu.Unlock()
		if aborted {
			panic(http.ErrAbortHandler)
		}
		if mode == breakCut || mode == breakSilent {
			produced = min(produced, limit)
		}
		if req.Stream && produced > sent && mode != breakLose {
			out.chunk(generate(s.prompt, sent, produced), produced-sent)
			sent = produced
		}
		if mode == breakCut && produced >= limit || mode == breakLose && ended {
			panic(http.ErrAbortHandler)
		}
		if ended && mode != breakSilent {
			out.end(generate(s.prompt, s.from, s.to), usage{a.PromptTokens, s.to - s.from, cached})
			return
		}
		select {
		case <-s.changed:
		case <-r.Context().Done():
			return
		}
	}
}

// cancel drops a request whose handler has ended before its last token.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.gone {
		return
	}
	s.gone = true
	if c := e.runs[s.fingerprint]; c != nil && s.running(e) {
		c.Cancelled++
	}
	e.signal()
}

func (s *sequence) running(e *Engine) bool {
	for _, r := range e.running {
		if r == s {
			return true
		}
	}
	return false
}
