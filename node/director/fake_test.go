package director

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	slots      = 8
	length     = 50
	tokenTime  = 10 * time.Millisecond
	answerPath = "/v1/completions"
)

// engine is a model engine in virtual time. Its answer is a function of the
// prompt, and it refuses a resume that does not match.
type engine struct {
	port.Engine
	mu        sync.Mutex
	running   int
	most      int
	dead      chan struct{}
	generated int
	runs      map[string]int
}

func newEngine() *engine { return &engine{dead: make(chan struct{}), runs: map[string]int{}} }

func word(prompt string, i int) string { return fmt.Sprintf("%s%d ", prompt, i) }

func expected(prompt string) string {
	var b strings.Builder
	for i := range length {
		b.WriteString(word(prompt, i))
	}
	return b.String()
}

func (e *engine) isDead() bool {
	select {
	case <-e.dead:
		return true
	default:
		return false
	}
}

func (e *engine) Load(context.Context) (port.LoadReport, error) {
	if e.isDead() {
		return port.LoadReport{}, port.ErrUnavailable
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return port.LoadReport{At: time.Now(), Running: e.running, MaxSlots: slots}, nil
}

func (e *engine) State(context.Context) (port.EngineState, error) {
	if e.isDead() {
		return port.EngineState{}, port.ErrUnavailable
	}
	return port.EngineState{Model: "m", Role: port.RoleBoth}, nil
}

func (e *engine) CacheEvents(context.Context, uint64) (port.CacheEventPage, error) {
	return port.CacheEventPage{}, nil
}

func (e *engine) Generate(ctx context.Context, req *port.GenerateRequest, sink port.ChunkSink) (*port.GenerateResult, error) {
	if e.isDead() {
		return nil, port.ErrUnavailable
	}
	var body struct{ Prompt string }
	if err := json.Unmarshal(req.Body, &body); err != nil {
		return nil, err
	}
	e.mu.Lock()
	e.running++
	e.most = max(e.most, e.running)
	e.runs[body.Prompt]++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	switch {
	case body.Prompt == "never":
		return nil, &port.StatusError{Status: 422, Body: []byte(`{"error":{"code":"content_refused","message":"no"}}`)}
	case body.Prompt == "later":
		return nil, &port.StatusError{Status: 503}
	}
	from := 0
	if r := req.Resume; r != nil {
		if from = r.Tokens; !strings.HasPrefix(expected(body.Prompt), r.Text) || r.Text != expected(body.Prompt)[:len(r.Text)] {
			return nil, &port.StatusError{Status: 400, Body: []byte(`{"error":{"code":"resume_mismatch"}}`)}
		}
	}
	tick := time.NewTicker(tokenTime)
	defer tick.Stop()
	for i := from; i < length; i++ {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", port.ErrOutcomeUnknown, ctx.Err())
		case <-e.dead:
			return nil, port.ErrOutcomeUnknown
		}
		e.mu.Lock()
		e.generated++
		e.mu.Unlock()
		c := port.Chunk{Data: []byte(`{"id":"x"}`), Text: word(body.Prompt, i), Tokens: 1}
		if i == length-1 {
			c.FinishReason = "stop"
		}
		if err := sink(c); err != nil {
			return nil, err
		}
	}
	return &port.GenerateResult{Status: 200, OutputTokens: length - from, FinishReason: "stop"}, nil
}

// source is a partition owner with one job.
type source struct {
	mu       sync.Mutex
	prompts  []string
	pending  []uint32
	results  map[uint32]*recordpb.ItemResult
	returned []*peerpb.ItemReturn
	renewed  map[uint32]bool
	doubled  int
	flags    func(*peerpb.Item)
	cancel   bool
	fail     bool
}

func newSource(prompts ...string) *source {
	s := &source{prompts: prompts, results: map[uint32]*recordpb.ItemResult{}, renewed: map[uint32]bool{}}
	for i := range prompts {
		s.pending = append(s.pending, uint32(i))
	}
	return s
}

func (s *source) Owners(string) []Owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		return nil
	}
	return []Owner{{Instance: "owner", Items: len(s.pending)}}
}

func (s *source) Pull(_ context.Context, _ Owner, _, _ string, max int) ([]*peerpb.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(max, len(s.pending))
	var out []*peerpb.Item
	for _, i := range s.pending[:n] {
		line := fmt.Sprintf(`{"custom_id":"c%d","body":{"prompt":%q}}`, i, s.prompts[i])
		it := &peerpb.Item{JobId: "job", Index: i, Line: []byte(line), Attempt: 1, Endpoint: answerPath}
		if s.flags != nil {
			s.flags(it)
		}
		out = append(out, it)
	}
	s.pending = s.pending[n:]
	return out, nil
}

func (s *source) Push(_ context.Context, to Owner, req *peerpb.PushResultsRequest) (*peerpb.PushResultsResponse, Owner, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail {
		return nil, to, port.ErrUnavailable
	}
	for _, r := range req.Results {
		if s.results[r.Item] != nil {
			s.doubled++
		}
		s.results[r.Item] = r
	}
	for _, r := range req.Returned {
		s.returned = append(s.returned, r)
		if !s.cancel {
			s.pending = append(s.pending, r.Index)
		}
	}
	for _, i := range req.Renew {
		s.renewed[i] = true
	}
	return &peerpb.PushResultsResponse{Cancelled: s.cancel}, to, nil
}

func (s *source) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.results)
}

// list implements port.Directory and servers.BatchAssignment.
type list []port.ServerEntry

func (l list) List(context.Context) (port.Listing, error) { return port.Listing{Servers: l}, nil }
func (l list) Directs(string) bool                        { return true }

type world struct {
	engines  []*engine
	source   *source
	pool     *servers.Pool
	director *Director
}

// inBubble runs a test with a director of n engines in virtual time.
func inBubble(t *testing.T, n int, src *source, f func(*testing.T, *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{source: src}
		var entries list
		for i := range n {
			w.engines = append(w.engines, newEngine())
			entries = append(entries, port.ServerEntry{ID: fmt.Sprint("s", i), Service: "model", Address: fmt.Sprint(i)})
		}
		doc := &config.Document{
			Services: map[string]*config.Service{"model": {Kind: config.ServiceModel}},
			Models:   map[string]*config.Model{"m": {Service: "model"}},
			Capacity: map[string]*config.Capacity{"model": {Service: "model", BatchSlotsPerServer: 64}},
		}
		w.pool = servers.New(servers.Options{Instance: "i", Directory: entries, Document: func() *config.Document { return doc }, Seed: 1,
			NewEngine: func(a string) port.Engine {
				i := slices.IndexFunc(entries, func(e port.ServerEntry) bool { return e.Address == a })
				return w.engines[i]
			}, BatchAssignment: entries})
		w.director = New(Options{Instance: "i", Pool: w.pool, Source: src})
		ctx, cancel := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		wg.Go(func() { w.pool.Run(ctx) })
		wg.Go(func() { w.director.Run(ctx) })
		synctest.Wait()
		f(t, w)
		cancel()
		wg.Wait()
	})
}

// online sends an online request as node/inference does and returns its flight.
func (w *world) online(t *testing.T) *servers.Dispatch {
	t.Helper()
	f, r := w.pool.Group("model").Pick(&route.Request{Model: "m", PromptTokens: 10}, "online")
	if r != servers.Picked {
		t.Fatalf("Pick = %d", r)
	}
	return f
}

// check guards against results that are missing, doubled or not whole.
func (w *world) check(t *testing.T) {
	t.Helper()
	s := w.source
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.doubled > 0 {
		t.Errorf("%d items have two results", s.doubled)
	}
	for i, p := range s.prompts {
		r := s.results[uint32(i)]
		if r == nil {
			t.Errorf("item %d has no result", i)
			continue
		}
		var got struct {
			Choices []struct{ Text string }
			Usage   struct {
				CompletionTokens int `json:"completion_tokens"`
			}
		}
		if err := json.Unmarshal(r.Body, &got); err != nil || r.CustomId != fmt.Sprint("c", i) || len(got.Choices) != 1 ||
			got.Choices[0].Text != expected(p) || got.Usage.CompletionTokens != length || r.OutputTokens != length {
			t.Errorf("item %d: %v (%v)", i, r, err)
		}
	}
}

func prompts(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("p%d-", i)
	}
	return out
}
