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
	slots        = 8
	answerTokens = 50
	tokenTime    = 10 * time.Millisecond
	answerPath   = "/v1/completions"
)

// fakeEngine is a model engine for tests in virtual time. Its answer is a function
// of the prompt, and it refuses a resume whose text does not match. It refuses the
// prompt "never" with status 422 and the prompt "later" with status 503.
type fakeEngine struct {
	port.Engine
	mu         sync.Mutex
	running    int
	maxRunning int
	dead       chan struct{}
	generated  int
	runs       map[string]int
}

func newEngine() *fakeEngine { return &fakeEngine{dead: make(chan struct{}), runs: map[string]int{}} }

func tokenText(prompt string, i int) string { return fmt.Sprintf("%s%d ", prompt, i) }

func expectedText(prompt string) string {
	var b strings.Builder
	for i := range answerTokens {
		b.WriteString(tokenText(prompt, i))
	}
	return b.String()
}

func (e *fakeEngine) isDead() bool {
	select {
	case <-e.dead:
		return true
	default:
		return false
	}
}

func (e *fakeEngine) Load(context.Context) (port.LoadReport, error) {
	if e.isDead() {
		return port.LoadReport{}, port.ErrUnavailable
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return port.LoadReport{At: time.Now(), Running: e.running, MaxSlots: slots}, nil
}

func (e *fakeEngine) State(context.Context) (port.EngineState, error) {
	if e.isDead() {
		return port.EngineState{}, port.ErrUnavailable
	}
	return port.EngineState{Model: "m", Role: port.RoleBoth}, nil
}

func (e *fakeEngine) CacheEvents(context.Context, uint64) (port.CacheEventPage, error) {
	return port.CacheEventPage{}, nil
}

func (e *fakeEngine) Generate(ctx context.Context, req *port.GenerateRequest, sink port.ChunkSink) (*port.GenerateResult, error) {
	if e.isDead() {
		return nil, port.ErrUnavailable
	}
	var body struct{ Prompt string }
	if err := json.Unmarshal(req.Body, &body); err != nil {
		return nil, err
	}
	e.mu.Lock()
	e.running++
	e.maxRunning = max(e.maxRunning, e.running)
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
		if from = r.Tokens; !strings.HasPrefix(expectedText(body.Prompt), r.Text) || r.Text != expectedText(body.Prompt)[:len(r.Text)] {
			return nil, &port.StatusError{Status: 400, Body: []byte(`{"error":{"code":"resume_mismatch"}}`)}
		}
	}
	tick := time.NewTicker(tokenTime)
	defer tick.Stop()
	for i := from; i < answerTokens; i++ {
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
		c := port.Chunk{Data: []byte(`{"id":"x"}`), Text: tokenText(body.Prompt, i), Tokens: 1}
		if i == answerTokens-1 {
			c.FinishReason = "stop"
		}
		if err := sink(c); err != nil {
			return nil, err
		}
	}
	return &port.GenerateResult{Status: 200, OutputTokens: answerTokens - from, FinishReason: "stop"}, nil
}

// fakeSource is an ItemSource with one owner and one job.
type fakeSource struct {
	mu         sync.Mutex
	prompts    []string
	pending    []uint32
	results    map[uint32]*recordpb.ItemResult
	returned   []*peerpb.ItemReturn
	renewed    map[uint32]bool
	duplicates int
	modify     func(*peerpb.Item) // changes each pulled item; may be nil
	cancel     bool               // pushes are answered with the job cancelled
	fail       bool               // pushes fail
}

func newSource(prompts ...string) *fakeSource {
	s := &fakeSource{prompts: prompts, results: map[uint32]*recordpb.ItemResult{}, renewed: map[uint32]bool{}}
	for i := range prompts {
		s.pending = append(s.pending, uint32(i))
	}
	return s
}

func (s *fakeSource) Owners(string) []Owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		return nil
	}
	return []Owner{{Instance: "owner", Items: len(s.pending)}}
}

func (s *fakeSource) Pull(_ context.Context, _ Owner, _, _ string, maxItems int) ([]*peerpb.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(maxItems, len(s.pending))
	var out []*peerpb.Item
	for _, i := range s.pending[:n] {
		line := fmt.Sprintf(`{"custom_id":"c%d","body":{"prompt":%q}}`, i, s.prompts[i])
		it := &peerpb.Item{JobId: "job", Index: i, Line: []byte(line), Attempt: 1, Endpoint: answerPath}
		if s.modify != nil {
			s.modify(it)
		}
		out = append(out, it)
	}
	s.pending = s.pending[n:]
	return out, nil
}

func (s *fakeSource) Push(_ context.Context, to Owner, req *peerpb.PushResultsRequest) (*peerpb.PushResultsResponse, Owner, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail {
		return nil, to, port.ErrUnavailable
	}
	for _, r := range req.Results {
		if s.results[r.Item] != nil {
			s.duplicates++
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

func (s *fakeSource) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.results)
}

// staticDirectory implements port.Directory and servers.BatchAssignment. It directs
// every server.
type staticDirectory []port.ServerEntry

func (d staticDirectory) List(context.Context) (port.Listing, error) {
	return port.Listing{Servers: d}, nil
}
func (d staticDirectory) Directs(string) bool { return true }

type testEnv struct {
	engines  []*fakeEngine
	source   *fakeSource
	pool     *servers.Pool
	director *Director
}

// runInBubble runs a test in a synctest bubble, with a director of n engines.
func runInBubble(t *testing.T, n int, src *fakeSource, f func(*testing.T, *testEnv)) {
	runWithQuarantine(t, n, src, nil, f)
}

// runWithQuarantine is runInBubble with a quarantine; nil for none.
func runWithQuarantine(t *testing.T, n int, src *fakeSource, q servers.Quarantine, f func(*testing.T, *testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		env := &testEnv{source: src}
		var entries staticDirectory
		for i := range n {
			env.engines = append(env.engines, newEngine())
			entries = append(entries, port.ServerEntry{ID: fmt.Sprint("s", i), Service: "model", Address: fmt.Sprint(i)})
		}
		doc := &config.Document{
			Services: map[string]*config.Service{"model": {Kind: config.ServiceKindModel}},
			Models:   map[string]*config.Model{"m": {Service: "model"}},
			Capacity: map[string]*config.Capacity{"model": {Service: "model", BatchSlotsPerServer: 64}},
		}
		env.pool = servers.New(servers.Options{Instance: "i", Directory: entries, Document: func() *config.Document { return doc }, Seed: 1,
			NewEngine: func(a string) port.Engine {
				i := slices.IndexFunc(entries, func(e port.ServerEntry) bool { return e.Address == a })
				return env.engines[i]
			}, BatchAssignment: entries, Quarantine: q})
		env.director = New(Options{Instance: "i", Pool: env.pool, Source: src})
		ctx, cancel := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		wg.Go(func() { env.pool.Run(ctx) })
		wg.Go(func() { env.director.Run(ctx) })
		synctest.Wait()
		f(t, env)
		cancel()
		wg.Wait()
	})
}

// sendOnline picks a server for an online request, as node/inference does, and
// returns the request's dispatch.
func (env *testEnv) sendOnline(t *testing.T) *servers.Dispatch {
	t.Helper()
	d, r := env.pool.Group("model").Pick(&route.Request{Model: "m", PromptTokens: 10}, "online")
	if r != servers.Picked {
		t.Fatalf("Pick = %d", r)
	}
	return d
}

// checkResults fails the test if a result is missing, repeated or incomplete.
func (env *testEnv) checkResults(t *testing.T) {
	t.Helper()
	s := env.source
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.duplicates > 0 {
		t.Errorf("%d items have two results", s.duplicates)
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
			got.Choices[0].Text != expectedText(p) || got.Usage.CompletionTokens != answerTokens || r.OutputTokens != answerTokens {
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
