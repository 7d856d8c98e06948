package route

import "time"

const (
	// maxLoadDeltas bounds the load deltas kept for a server between two load
	// reports. Beyond it the oldest ones are taken as covered by the last report.
	maxLoadDeltas = 256
	// Samples with fewer tokens are ignored: fixed costs dominate short prompts
	// and answers, so that they do not show the time per token.
	minPrefillSampleTokens = 64
	minDecodeSampleTokens  = 8
	// The constants below are the weights of a new sample in the exponentially
	// weighted moving averages. A prefill sample that is faster than the average
	// has ten times the weight of a slower one, because waiting behind other
	// requests lengthens samples and nothing shortens them.
	prefillFasterAlpha = 0.3
	prefillSlowerAlpha = 0.03
	decodeAlpha        = 0.2
	meanTokensAlpha    = 0.02
	// minSecondsPerToken keeps a faulty sample from making a server look
	// infinitely fast.
	minSecondsPerToken = 1e-6
)

// ActiveRequest is a dispatched request whose answer has not ended. The code
// that dispatched it keeps it and passes it with each later event.
type ActiveRequest struct {
	Server       string
	DispatchedAt time.Time
	FirstTokenAt time.Time
	// PromptTokens is the number of prompt tokens that were not expected in the
	// server's prefix cache.
	PromptTokens int
	Batch        bool

	queuedAhead   int // pending prompt tokens on the server at the dispatch
	prefilling    bool
	index         int // of the server in Table.servers; -1 after the end
	sampledAt     time.Time
	sampledTokens int // output tokens at sampledAt
}

// Dispatched records that a request was sent to the chosen server.
func (t *Table) Dispatched(now time.Time, c Choice, req *Request) ActiveRequest {
	r := ActiveRequest{
		Server: c.Server, DispatchedAt: now, Batch: req.Batch, index: c.index,
		PromptTokens: max(0, req.PromptTokens-c.CachedTokens), prefilling: true,
	}
	t.meanPromptTokens += meanTokensAlpha * (float64(r.PromptTokens) - t.meanPromptTokens)
	s := t.serverOf(&r)
	if s == nil {
		return r
	}
	r.queuedAhead = s.pendingPromptTokens
	s.pendingPromptTokens += r.PromptTokens
	s.inFlight++
	if r.Batch {
		s.batchInFlight++
	}
	s.addLoadDelta(now, 1)
	return r
}

// FirstToken records the first token of an answer and updates the server's
// estimated prefill time.
func (t *Table) FirstToken(now time.Time, r *ActiveRequest) {
	s := t.serverOf(r)
	if s == nil || !r.prefilling {
		return
	}
	r.prefilling, r.FirstTokenAt, r.sampledAt, r.sampledTokens = false, now, now, 1
	s.pendingPromptTokens = max(0, s.pendingPromptTokens-r.PromptTokens)
	promptTokens := r.queuedAhead + r.PromptTokens
	if r.PromptTokens < minPrefillSampleTokens {
		return
	}
	sample := max(now.Sub(r.DispatchedAt).Seconds()/float64(promptTokens), minSecondsPerToken)
	alpha := prefillSlowerAlpha
	if sample < s.secondsPerPromptToken {
		alpha = prefillFasterAlpha
	}
	s.secondsPerPromptToken += alpha * (sample - s.secondsPerPromptToken)
	s.prefillSampled = true
}

// Finished records the end of an answer, complete or not, with its number of
// output tokens, and updates the server's estimated decode time.
func (t *Table) Finished(now time.Time, r *ActiveRequest, tokens int) {
	s := t.serverOf(r)
	if s == nil {
		return
	}
	if r.prefilling {
		s.pendingPromptTokens = max(0, s.pendingPromptTokens-r.PromptTokens)
		r.prefilling = false
	} else {
		t.Progress(now, r, tokens)
	}
	if !r.Batch {
		t.meanOutputTokens += meanTokensAlpha * (float64(tokens) - t.meanOutputTokens)
	}
	s.inFlight = max(0, s.inFlight-1)
	if r.Batch {
		s.batchInFlight = max(0, s.batchInFlight-1)
	}
	s.addLoadDelta(now, -1)
	r.index = -1
}

// Progress records the output tokens of a running stream so far and updates the
// server's estimated decode time. It returns the time per token since the last
// sample, or zero when there are too few new tokens for a sample.
func (t *Table) Progress(now time.Time, r *ActiveRequest, tokens int) time.Duration {
	s := t.serverOf(r)
	if s == nil || r.prefilling || tokens-r.sampledTokens < minDecodeSampleTokens {
		return 0
	}
	sample := max(now.Sub(r.sampledAt).Seconds()/float64(tokens-r.sampledTokens), minSecondsPerToken)
	s.secondsPerOutputToken += decodeAlpha * (sample - s.secondsPerOutputToken)
	s.decodeSampled = true
	r.sampledAt, r.sampledTokens = now, tokens
	return seconds(sample)
}

// serverOf returns the request's server, or nil when the server was removed from
// the table or the request has ended.
func (t *Table) serverOf(r *ActiveRequest) *server {
	if r.index < 0 || r.index >= len(t.servers) || t.servers[r.index].ID != r.Server {
		return nil
	}
	return &t.servers[r.index]
}

// addLoadDelta records that this instance started streams on the server, or ended
// them if streams is negative.
func (s *server) addLoadDelta(at time.Time, streams int) {
	if len(s.deltas) >= maxLoadDeltas {
		s.deltaSum -= s.deltas[0].streams
		copy(s.deltas, s.deltas[1:])
		s.deltas = s.deltas[:len(s.deltas)-1]
	}
	s.deltas = append(s.deltas, loadDelta{at, streams})
	s.deltaSum += streams
}
