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

// requestFault is the fault injected into a request. Each value but faultNone corresponds to the
// field or fields of Faults with that name; faultFail also stands for an outage.
type requestFault int

const (
	faultNone requestFault = iota
	faultFail
	faultClose
	faultLose
	faultCut
	faultSilent
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

// nextFault counts a request and returns the fault to inject into it. The caller holds mu.
func (e *Engine) nextFault() requestFault {
	e.requestCount++
	f := &e.faults
	switch {
	case f.Outage || kit.FaultApplies(&f.FailNext, f.FailEvery, e.requestCount):
		return faultFail
	case kit.FaultApplies(&f.CloseNext, 0, e.requestCount):
		return faultClose
	case kit.FaultApplies(&f.LoseNext, 0, e.requestCount):
		return faultLose
	case kit.FaultApplies(&f.CutNext, 0, e.requestCount):
		return faultCut
	case kit.FaultApplies(&f.SilentNext, 0, e.requestCount):
		return faultSilent
	}
	return faultNone
}

// handleGenerate serves completion requests.
func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
		return
	}
	req, err := parseRequest(body)
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
		prompt: prompt, prefixHashes: PrefixHashes(prompt), fingerprint: fingerprint, id: r.Header.Get("X-Request-Id"),
		to: answer.Tokens, reservedTokens: answer.PromptTokens + answer.Tokens, changed: make(chan struct{}, 1),
	}
	if res := req.Resume; res != nil {
		if res.Tokens < 0 || res.Tokens > answer.Tokens || generateText(prompt, 0, res.Tokens) != res.Text {
			writeError(w, http.StatusBadRequest, "resume_mismatch", "the resumed text is not the beginning of this answer")
			return
		}
		s.from, s.produced = res.Tokens, res.Tokens
	}
	fault, status, code := e.enqueue(req, s)
	switch {
	case status != 0:
		writeError(w, status, code, "the engine refuses the request")
	case fault == faultClose:
		panic(http.ErrAbortHandler) // closes the connection
	default:
		e.sendAnswer(w, r, req, s, answer, fault)
	}
}

// enqueue adds a request to the waiting requests. If the request is refused, enqueue returns
// the status and error code of the response. The caller must close the connection of a request
// with faultClose.
func (e *Engine) enqueue(req *request, s *sequence) (fault requestFault, status int, code string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fault = e.nextFault()
	switch {
	case fault == faultFail:
		return fault, http.StatusServiceUnavailable, "unavailable"
	case fault == faultClose || e.killed:
		return faultClose, 0, ""
	case strings.Contains(s.prompt, RefuseMark):
		return fault, http.StatusUnprocessableEntity, "content_refused"
	case e.loadingModel:
		return fault, http.StatusServiceUnavailable, "loading"
	case !e.hasModel(req.Model):
		return fault, http.StatusNotFound, "model_not_found"
	case s.reservedTokens > e.opts.KVTokens:
		return fault, http.StatusBadRequest, "context_length_exceeded"
	}
	e.waiting = append(e.waiting, s)
	e.wakeLoop()
	return fault, 0, ""
}

// sendAnswer sends the answer as its tokens are generated, or as a whole if the request is
// not streamed.
func (e *Engine) sendAnswer(w http.ResponseWriter, r *http.Request, req *request, s *sequence, a Answer, fault requestFault) {
	defer e.cancelSequence(s)
	writer := &answerWriter{w: w, req: req, path: r.URL.Path, id: "gen-" + s.fingerprint, finishReason: a.FinishReason}
	e.mu.Lock()
	breakPosition := s.from + e.faults.BreakAfter
	e.mu.Unlock()
	sent := s.from
	for {
		e.mu.Lock()
		produced, aborted, cachedTokens := s.produced, s.aborted, s.cachedTokens
		completed := s.produced >= s.to && s.done
		e.mu.Unlock()
		if aborted {
			panic(http.ErrAbortHandler)
		}
		if fault == faultCut || fault == faultSilent {
			produced = min(produced, breakPosition)
		}
		if req.Stream && produced > sent && fault != faultLose {
			writer.writeChunk(generateText(s.prompt, sent, produced), produced-sent)
			sent = produced
		}
		if fault == faultCut && produced >= breakPosition || fault == faultLose && completed {
			panic(http.ErrAbortHandler)
		}
		if completed && fault != faultSilent {
			writer.writeEnd(generateText(s.prompt, s.from, s.to), usage{a.PromptTokens, s.to - s.from, cachedTokens})
			return
		}
		select {
		case <-s.changed:
		case <-r.Context().Done():
			return
		}
	}
}

// cancelSequence cancels a request, unless it is done, when its handler returns.
func (e *Engine) cancelSequence(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.done {
		return
	}
	s.done = true
	if c := e.runCounts[s.fingerprint]; c != nil && s.running(e) {
		c.Cancelled++
	}
	e.wakeLoop()
}

// running reports whether the sequence is in the engine's batch. The caller holds the
// engine's mu.
func (s *sequence) running(e *Engine) bool {
	for _, r := range e.running {
		if r == s {
			return true
		}
	}
	return false
}
