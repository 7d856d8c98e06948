package owner

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// TestMain uses the shared codec once, because its pool of encoders is made on
// the first use and must not belong to a synctest bubble.
func TestMain(m *testing.M) {
	payload, err := record.Encode(&recordpb.Batch{})
	if err == nil {
		_, err = record.Decode(payload)
	}
	if err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// fakeLog is the platform's log in memory, with the faults that its design allows.
type fakeLog struct {
	mu         sync.Mutex
	latency    time.Duration
	retention  time.Duration
	down       bool
	loseNext   int // appends whose answer is lost after their effect
	lateNext   int // appends whose answer is lost and that take effect on release
	late       []func()
	streams    map[string]*fakeStream
	appends    int
	running    int // appends that are not answered
	maxRunning int // of them at a time
}

type fakeStream struct {
	first    int64
	records  []port.Record
	times    []time.Time
	appended chan struct{}
}

func newFakeLog() *fakeLog {
	return &fakeLog{latency: 5 * time.Millisecond, streams: map[string]*fakeStream{}}
}

func (l *fakeLog) with(f func()) { l.mu.Lock(); defer l.mu.Unlock(); f() }

func (l *fakeLog) stream(name string) *fakeStream {
	s := l.streams[name]
	if s == nil {
		s = &fakeStream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	for l.retention > 0 && len(s.times) > 0 && time.Since(s.times[0]) > l.retention {
		s.first, s.records, s.times = s.first+1, s.records[1:], s.times[1:]
	}
	return s
}

func (l *fakeLog) put(name string, payload []byte) int64 {
	s := l.stream(name)
	offset := s.first + int64(len(s.records))
	s.records, s.times = append(s.records, port.Record{Offset: offset, Payload: payload}), append(s.times, time.Now())
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

func (l *fakeLog) Append(ctx context.Context, name string, payload []byte) (int64, error) {
	l.with(func() { l.running++; l.maxRunning = max(l.maxRunning, l.running) })
	time.Sleep(l.latency)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.appends++
	switch {
	case l.down:
		return 0, port.ErrUnavailable
	case l.lateNext > 0:
		l.lateNext--
		l.late = append(l.late, func() { l.put(name, payload) })
		return 0, port.ErrOutcomeUnknown
	}
	offset := l.put(name, payload)
	if l.loseNext > 0 {
		l.loseNext--
		return 0, port.ErrOutcomeUnknown
	}
	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, name string, from int64, maxBytes int, wait time.Duration) (port.Page, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for last := wait <= 0; ; {
		l.mu.Lock()
		s, down := l.stream(name), l.down
		page := port.Page{First: s.first, End: s.first + int64(len(s.records))}
		size := 0
		for o := from; o >= s.first && o < page.End && (size == 0 || size < maxBytes); o++ {
			r := s.records[o-s.first]
			page.Records, size = append(page.Records, r), size+len(r.Payload)
		}
		grown := s.appended
		l.mu.Unlock()
		switch {
		case down:
			return port.Page{}, port.ErrUnavailable
		case from < page.First:
			return port.Page{}, &port.ExpiredError{Stream: name, First: page.First}
		case len(page.Records) > 0 || last:
			return page, nil
		}
		select {
		case <-grown:
		case <-deadline.C:
			last = true
		case <-ctx.Done():
			return port.Page{}, port.ErrUnavailable
		}
	}
}

// instanceLog is the log as one instance reaches it; a paused one answers nothing.
type instanceLog struct {
	*fakeLog
	pauseMu sync.Mutex
	paused  chan struct{}
}

func (v *instanceLog) waitWhilePaused() {
	v.pauseMu.Lock()
	paused := v.paused
	v.pauseMu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (v *instanceLog) pause() {
	v.pauseMu.Lock()
	v.paused = make(chan struct{})
	v.pauseMu.Unlock()
}

func (v *instanceLog) resume() {
	v.pauseMu.Lock()
	close(v.paused)
	v.paused = nil
	v.pauseMu.Unlock()
}

func (v *instanceLog) Append(ctx context.Context, name string, payload []byte) (int64, error) {
	v.waitWhilePaused()
	return v.fakeLog.Append(ctx, name, payload)
}

func (v *instanceLog) Read(ctx context.Context, name string, from int64, maxBytes int, wait time.Duration) (port.Page, error) {
	v.waitWhilePaused()
	page, err := v.fakeLog.Read(ctx, name, from, maxBytes, wait)
	v.waitWhilePaused()
	return page, err
}

// membership is what the members agree on.
type membership struct {
	mu          sync.Mutex
	preferred   string
	lost        map[string]bool
	views       map[string]string // instances that see another preferred one
	subscribers []chan struct{}
}

type memberView struct {
	members *membership
	self    string
	changes chan struct{}
}

func (s *memberView) Preferred(int) (string, bool) {
	s.members.mu.Lock()
	defer s.members.mu.Unlock()
	p := s.members.preferred
	if own, ok := s.members.views[s.self]; ok {
		p = own
	}
	return p, p == s.self
}

func (s *memberView) Address(instance string) (string, bool) { return instance, true }
func (s *memberView) Alive(instance string) bool {
	s.members.mu.Lock()
	defer s.members.mu.Unlock()
	return !s.members.lost[instance]
}
func (s *memberView) Changes() <-chan struct{} { return s.changes }

func (f *membership) prefer(instance string, dead ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.preferred = instance
	for _, d := range dead {
		f.lost[d] = true
	}
	for _, changes := range f.subscribers {
		select {
		case changes <- struct{}{}:
		default:
		}
	}
}

// instance is one manager of a test fleet.
type instance struct {
	*Manager
	log  *instanceLog
	stop context.CancelFunc
	done chan struct{}
}

type cluster struct {
	t       *testing.T
	log     *fakeLog
	members *membership
	opts    Options
}

// runCluster runs f in virtual time with one partition and no instance.
func runCluster(t *testing.T, f func(t *testing.T, w *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		f(t, &cluster{t: t, log: newFakeLog(), opts: Options{Partitions: 1},
			members: &membership{lost: map[string]bool{}, views: map[string]string{}}})
	})
}

func (w *cluster) start(name string) *instance {
	w.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	o := w.opts
	i := &instance{log: &instanceLog{fakeLog: w.log}, stop: cancel, done: make(chan struct{})}
	o.Instance, o.Incarnation, o.Log = name, uint64(time.Now().UnixNano()), i.log
	s := &memberView{members: w.members, self: name, changes: make(chan struct{}, 1)}
	o.Preference = s
	w.members.mu.Lock()
	w.members.subscribers = append(w.members.subscribers, s.changes)
	w.members.mu.Unlock()
	i.Manager = NewManager(o)
	go func() { i.Run(ctx); close(i.done) }()
	w.t.Cleanup(i.kill)
	return i
}

// startOwner starts the preferred instance and waits until it owns the partition.
func (w *cluster) startOwner(name string) *instance {
	w.members.prefer(name)
	owner := w.start(name)
	w.waitOwned(owner, time.Minute)
	return owner
}

func (i *instance) kill() { i.stop(); <-i.done }

// waitOwned waits until the instance waitOwned the partition and returns the time it took.
func (w *cluster) waitOwned(i *instance, within time.Duration) time.Duration {
	w.t.Helper()
	start := time.Now()
	for len(i.Owned()) == 0 {
		if time.Since(start) > within {
			w.t.Fatalf("%s does not own the partition after %v", i.opts.Instance, within)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

const workspace, endpoint, model = "letters", "/v1/completions", "small"

func (w *cluster) begin(i *instance, key, attempt string, nonIdempotent bool) *peerpb.BeginResponse {
	out, err := i.Begin(shortContext(w.t), &peerpb.BeginRequest{Workspace: workspace, Key: key, Fingerprint: []byte("f"), Attempt: attempt,
		NonIdempotent: nonIdempotent, EntryInstance: i.opts.Instance, DeadlineMs: time.Now().Add(time.Minute).UnixMilli()})
	if err != nil {
		w.t.Error(err) // called by other goroutines as well
		out = &peerpb.BeginResponse{}
	}
	return out
}

func (w *cluster) finish(i *instance, key, body string, nonIdempotent bool) *peerpb.FinishResponse {
	out, err := i.Finish(shortContext(w.t), &peerpb.FinishRequest{Finished: &recordpb.CallFinished{Workspace: workspace, Key: key,
		Fingerprint: []byte("f"), Outcome: recordpb.Outcome_OUTCOME_DONE, Body: []byte(body), NonIdempotent: nonIdempotent}})
	if err != nil {
		w.t.Error(err) // called by other goroutines as well
		out = &peerpb.FinishResponse{}
	}
	return out
}

// createJob stores a file of n lines and creates a createJob of it.
func (w *cluster) createJob(i *instance, n int, nonIdempotent bool) string {
	w.t.Helper()
	file, id := ident.FileID(workspace, "batch", []byte{byte(n)}, 1), ident.JobID(workspace, fmt.Sprint("job", n), "", 0)
	info, err := i.StoreFile(shortContext(w.t), &recordpb.FileSealed{FileId: file, Workspace: workspace}, func(yield func([]byte, error) bool) {
		for k := range n {
			if !yield(fmt.Appendf(nil, "line %d", k), nil) {
				return
			}
		}
	})
	if err != nil || info.Refusal != nil {
		w.t.Fatalf("StoreFile: %v, %v", info.GetRefusal(), err)
	}
	job, err := i.Create(shortContext(w.t), &peerpb.CreateJobRequest{Job: &recordpb.JobCreated{JobId: id, Workspace: workspace, FileId: file,
		Model: model, Endpoint: endpoint, DueMs: time.Now().Add(time.Hour).UnixMilli(), NonIdempotent: nonIdempotent}})
	if err != nil || job.Refusal != nil {
		w.t.Fatalf("Create: %v, %v", job.GetRefusal(), err)
	}
	time.Sleep(maintenancePeriod + busyTickPeriod) // until the backlog is published
	return id
}

func (w *cluster) pull(i *instance, most int) []*peerpb.Item {
	out, err := i.PullItems(shortContext(w.t), &peerpb.PullItemsRequest{Director: i.opts.Instance, Model: model, MaxItems: uint32(most)})
	if err != nil {
		w.t.Error(err) // called by other goroutines as well
		out = &peerpb.PullItemsResponse{}
	}
	return out.Items
}

func (w *cluster) push(i *instance, job string, items []*peerpb.Item) *peerpb.PushResultsResponse {
	in := &peerpb.PushResultsRequest{Director: i.opts.Instance, JobId: job}
	for _, it := range items {
		in.Results = append(in.Results, &recordpb.ItemResult{Item: it.Index, Outcome: recordpb.Outcome_OUTCOME_DONE,
			Body: append([]byte("result of "), it.Line...)})
	}
	out, err := i.PushResults(shortContext(w.t), in)
	if err != nil {
		w.t.Error(err) // called by other goroutines as well
		out = &peerpb.PushResultsResponse{}
	}
	return out
}

// results reads the results of a job and checks that each stands once, in order.
func (w *cluster) results(i *instance, job string) int {
	w.t.Helper()
	n, last := 0, -1
	refusal, err := i.ReadResults(shortContext(w.t), &peerpb.JobRequest{Workspace: workspace, JobId: job}, func(r *recordpb.ItemResult) error {
		if want := fmt.Sprintf("result of line %d", r.Item); int(r.Item) <= last || string(r.Body) != want {
			w.t.Errorf("item %d after %d has result %q", r.Item, last, r.Body)
		}
		n, last = n+1, int(r.Item)
		return nil
	})
	if refusal != nil || err != nil {
		w.t.Fatalf("ReadResults: %v, %v", refusal, err)
	}
	return n
}

func (w *cluster) getJob(i *instance, job string) *peerpb.JobInfo {
	out, err := i.Get(shortContext(w.t), &peerpb.JobRequest{Workspace: workspace, JobId: job})
	if err != nil || out.Refusal != nil {
		w.t.Fatalf("Get: %v, %v", out.GetRefusal(), err)
	}
	return out
}

// batches decodes what stands on the partition's stream.
func (w *cluster) batches() (out []*recordpb.Batch) {
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	for _, r := range w.log.stream(ident.PartitionStream(0)).records {
		if b, err := record.Decode(r.Payload); err == nil {
			out = append(out, b)
		}
	}
	return out
}
