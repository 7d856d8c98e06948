package route

import "time"

const (
	// maxChanges bounds the own changes kept between two load reports; beyond
	// it the oldest ones are taken as covered by the report.
	maxChanges = 256
	// Short prompts and answers are dominated by fixed costs and teach nothing
	// about the speed of a token.
	minLearnPrompt = 64
	minLearnOutput = 8
	// A faster prefill sample counts at once and a slower one little, because
	// waiting behind others lengthens samples but nothing shortens them.
	prefillFaster = 0.3
	prefillSlower = 0.03
	decodeShare   = 0.2
	meanShare     = 0.02
	// minTokenTime keeps a faulty sample from making a server look infinitely
	// fast, in seconds.
	minTokenTime = 1e-6
)

// ActiveRequest is one dispatched request. The caller keeps it and hands it back with
// each later event of the request.
type ActiveRequest struct {
	Server       string
	DispatchedAt time.Time
	FirstTokenAt time.Time
	// PromptTokens are the prompt tokens that were not expected in the cache.
	PromptTokens int
	Batch        bool

	ahead   int
	pending bool
	index   int
	marked  time.Time
	tokens  int // at the mark
}

// Dispatched records that a request was sent to the chosen server.
func (t *Table) Dispatched(now time.Time, c Choice, req *Request) ActiveRequest {
	f := ActiveRequest{
		Server: c.Server, DispatchedAt: now, Batch: req.Batch, index: c.index,
		PromptTokens: max(0, req.PromptTokens-c.CachedTokens), pending: true,
	}
	t.meanPrompt += meanShare * (float64(f.PromptTokens) - t.meanPrompt)
	s := t.at(&f)
	if s == nil {
		return f
	}
	f.ahead = s.prefill
	s.prefill += f.PromptTokens
	s.inFlight++
	if f.Batch {
		s.batch++
	}
	s.change(now, 1)
	return f
}

// FirstToken records the first token of an answer and learns the server's
// prefill speed from it.
func (t *Table) FirstToken(now time.Time, f *ActiveRequest) {
	s := t.at(f)
	if s == nil || !f.pending {
		return
	}
	f.pending, f.FirstTokenAt, f.marked, f.tokens = false, now, now, 1
	s.prefill = max(0, s.prefill-f.PromptTokens)
	work := f.ahead + f.PromptTokens
	if f.PromptTokens < minLearnPrompt {
		return
	}
	sample := max(now.Sub(f.DispatchedAt).Seconds()/float64(work), minTokenTime)
	share := prefillSlower
	if sample < s.prefillTime {
		share = prefillFaster
	}
	s.prefillTime += share * (sample - s.prefillTime)
	s.learned = true
}

// Finished records the end of an answer, whole or not, with the number of
// tokens that it had, and learns the server's decode speed from it.
func (t *Table) Finished(now time.Time, f *ActiveRequest, tokens int) {
	s := t.at(f)
	if s == nil {
		return
	}
	if f.pending {
		s.prefill = max(0, s.prefill-f.PromptTokens)
		f.pending = false
	} else {
		t.Progress(now, f, tokens)
	}
	if !f.Batch {
		t.meanOutput += meanShare * (float64(tokens) - t.meanOutput)
	}
	s.inFlight = max(0, s.inFlight-1)
	if f.Batch {
		s.batch = max(0, s.batch-1)
	}
	s.change(now, -1)
	f.index = -1
}

// Progress records the output tokens of a running stream so far and learns the
// server's decode speed. It returns the time per token since the last call;
// zero when there were too few tokens to tell.
func (t *Table) Progress(now time.Time, f *ActiveRequest, tokens int) time.Duration {
	s := t.at(f)
	if s == nil || f.pending || tokens-f.tokens < minLearnOutput {
		return 0
	}
	sample := max(now.Sub(f.marked).Seconds()/float64(tokens-f.tokens), minTokenTime)
	s.decodeTime += decodeShare * (sample - s.decodeTime)
	s.measured = true
	f.marked, f.tokens = now, tokens
	return seconds(sample)
}

// at returns the server of a flight; nil when it was removed in between.
func (t *Table) at(f *ActiveRequest) *server {
	if f.index < 0 || f.index >= len(t.servers) || t.servers[f.index].ID != f.Server {
		return nil
	}
	return &t.servers[f.index]
}

func (s *server) change(at time.Time, by int) {
	if len(s.changes) >= maxChanges {
		s.since -= s.changes[0].by
		copy(s.changes, s.changes[1:])
		s.changes = s.changes[:len(s.changes)-1]
	}
	s.changes = append(s.changes, change{at, by})
	s.since += by
}
