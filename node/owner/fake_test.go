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

// TestMain uses the shared codec once, because its pool of encoders is created on
// first use and must not belong to a synctest bubble.
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

// fakeLog is an in-memory version of the platform's log. It injects the faults that
// the log's design allows.
type fakeLog struct {
	mu           sync.Mutex
	latency      time.Duration
	retention    time.Duration
	down         bool
	loseAnswers  int // number of next appends that take effect but whose answer is lost
	delayAppends int // number of next appends that get no answer and take effect when their func in delayed is called
	delayed      []func()
	streams      map[string]*fakeStream
	appends      int
	running      int // unanswered appends
	maxRunning   int // highest value of running
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
	case l.delayAppends > 0:
		l.delayAppends--
		l.delayed = append(l.delayed, func() { l.put(name, payload) })
		return 0, port.ErrOutcomeUnknown
	}
	offset := l.put(name, payload)
	if l.loseAnswers > 0 {
		l.loseAnswers--
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
		appended := s.appended
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
		case <-appended:
		case <-deadline.C:
			last = true
		case <-ctx.Done():
			return port.Page{}, port.ErrUnavailable
		}
	}
}

// instanceLog is one instance's access to the log. While paused it answers nothing.
type instanceLog struct {
	*fakeLog
	pauseMu sync.Mutex
	paused  chan struct{}
}

func (l *instanceLog) waitWhilePaused() {
	l.pauseMu.Lock()
	paused := l.paused
	l.pauseMu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (l *instanceLog) pause() {
	l.pauseMu.Lock()
	l.paused = make(chan struct{})
	l.pauseMu.Unlock()
}

func (l *instanceLog) resume() {
	l.pauseMu.Lock()
	close(l.paused)
	l.paused = nil
	l.pauseMu.Unlock()
}

func (l *instanceLog) Append(ctx context.Context, name string, payload []byte) (int64, error) {
	l.waitWhilePaused()
	return l.fakeLog.Append(ctx, name, payload)
}

func (l *instanceLog) Read(ctx context.Context, name string, from int64, maxBytes int, wait time.Duration) (port.Page, error) {
	l.waitWhilePaused()
	page, err := l.fakeLog.Read(ctx, name, from, maxBytes, wait)
	l.waitWhilePaused()
	return page, err
}

// membership is the state of the members that all instances share.
type membership struct {
	mu          sync.Mutex
	preferred   string
	lost        map[string]bool
	views       map[string]string // preferred instance as seen by an instance that disagrees
	subscribers []chan struct{}
}

// memberView implements Preference for one instance.
type memberView struct {
	members *membership
	self    string
	changes chan struct{}
}

func (v *memberView) Preferred(int) (string, bool) {
	v.members.mu.Lock()
	defer v.members.mu.Unlock()
	p := v.members.preferred
	if own, ok := v.members.views[v.self]; ok {
		p = own
	}
	return p, p == v.self
}

func (v *memberView) Address(instance string) (string, bool) { return instance, true }
func (v *memberView) Alive(instance string) bool {
	v.members.mu.Lock()
	defer v.members.mu.Unlock()
	return !v.members.lost[instance]
}
func (v *memberView) Changes() <-chan struct{} { return v.changes }

func (m *membership) prefer(instance string, lost ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.preferred = instance
	for _, name := range lost {
		m.lost[name] = true
	}
	for _, changes := range m.subscribers {
		select {
		case changes <- struct{}{}:
		default:
		}
	}
}

// instance is a running Manager of a test cluster.
type instance struct {
	*Manager
	log  *instanceLog
	stop context.CancelFunc
	done chan struct{}
}

// cluster is a set of instances that share a log and the membership.
type cluster struct {
	t       *testing.T
	log     *fakeLog
	members *membership
	opts    Options
}

// runCluster runs f in virtual time with a cluster of one partition and no instance.
func runCluster(t *testing.T, f func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		f(t, &cluster{t: t, log: newFakeLog(), opts: Options{Partitions: 1},
			members: &membership{lost: map[string]bool{}, views: map[string]string{}}})
	})
}

func (c *cluster) start(name string) *instance {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	o := c.opts
	i := &instance{log: &instanceLog{fakeLog: c.log}, stop: cancel, done: make(chan struct{})}
	o.Instance, o.Incarnation, o.Log = name, uint64(time.Now().UnixNano()), i.log
	view := &memberView{members: c.members, self: name, changes: make(chan struct{}, 1)}
	o.Preference = view
	c.members.mu.Lock()
	c.members.subscribers = append(c.members.subscribers, view.changes)
	c.members.mu.Unlock()
	i.Manager = NewManager(o)
	go func() { i.Run(ctx); close(i.done) }()
	c.t.Cleanup(i.kill)
	return i
}

// startOwner starts an instance as the preferred one and waits until it owns the
// partition.
func (c *cluster) startOwner(name string) *instance {
	c.members.prefer(name)
	owner := c.start(name)
	c.waitOwned(owner, time.Minute)
	return owner
}

func (i *instance) kill() { i.stop(); <-i.done }

// waitOwned waits until the instance owns the partition and returns the time it took.
func (c *cluster) waitOwned(i *instance, within time.Duration) time.Duration {
	c.t.Helper()
	start := time.Now()
	for len(i.Owned()) == 0 {
		if time.Since(start) > within {
			c.t.Fatalf("%s does not own the partition after %v", i.opts.Instance, within)
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

func (c *cluster) begin(i *instance, key, attempt string, nonIdempotent bool) *peerpb.BeginResponse {
	out, err := i.Begin(shortContext(c.t), &peerpb.BeginRequest{Workspace: workspace, Key: key, Fingerprint: []byte("f"), Attempt: attempt,
		NonIdempotent: nonIdempotent, EntryInstance: i.opts.Instance, DeadlineMs: time.Now().Add(time.Minute).UnixMilli()})
	if err != nil {
		c.t.Error(err) // called by other goroutines as well
		out = &peerpb.BeginResponse{}
	}
	return out
}

func (c *cluster) finish(i *instance, key, body string, nonIdempotent bool) *peerpb.FinishResponse {
	out, err := i.Finish(shortContext(c.t), &peerpb.FinishRequest{Finished: &recordpb.CallFinished{Workspace: workspace, Key: key,
		Fingerprint: []byte("f"), Outcome: recordpb.Outcome_OUTCOME_DONE, Body: []byte(body), NonIdempotent: nonIdempotent}})
	if err != nil {
		c.t.Error(err) // called by other goroutines as well
		out = &peerpb.FinishResponse{}
	}
	return out
}

// createJob stores a file of n lines and creates a job from it.
func (c *cluster) createJob(i *instance, n int, nonIdempotent bool) string {
	c.t.Helper()
	file, id := ident.FileID(workspace, "batch", []byte{byte(n)}, 1), ident.JobID(workspace, fmt.Sprint("job", n), "", 0)
	info, err := i.StoreFile(shortContext(c.t), &recordpb.FileSealed{FileId: file, Workspace: workspace}, func(yield func([]byte, error) bool) {
		for k := range n {
			if !yield(fmt.Appendf(nil, "line %d", k), nil) {
				return
			}
		}
	})
	if err != nil || info.Refusal != nil {
		c.t.Fatalf("StoreFile: %v, %v", info.GetRefusal(), err)
	}
	job, err := i.Create(shortContext(c.t), &peerpb.CreateJobRequest{Job: &recordpb.JobCreated{JobId: id, Workspace: workspace, FileId: file,
		Model: model, Endpoint: endpoint, DueMs: time.Now().Add(time.Hour).UnixMilli(), NonIdempotent: nonIdempotent}})
	if err != nil || job.Refusal != nil {
		c.t.Fatalf("Create: %v, %v", job.GetRefusal(), err)
	}
	time.Sleep(maintenancePeriod + busyTickPeriod) // until the backlog is published
	return id
}

func (c *cluster) pull(i *instance, limit int) []*peerpb.Item {
	out, err := i.PullItems(shortContext(c.t), &peerpb.PullItemsRequest{Director: i.opts.Instance, Model: model, MaxItems: uint32(limit)})
	if err != nil {
		c.t.Error(err) // called by other goroutines as well
		out = &peerpb.PullItemsResponse{}
	}
	return out.Items
}

func (c *cluster) push(i *instance, job string, items []*peerpb.Item) *peerpb.PushResultsResponse {
	in := &peerpb.PushResultsRequest{Director: i.opts.Instance, JobId: job}
	for _, item := range items {
		in.Results = append(in.Results, &recordpb.ItemResult{Item: item.Index, Outcome: recordpb.Outcome_OUTCOME_DONE,
			Body: append([]byte("result of "), item.Line...)})
	}
	out, err := i.PushResults(shortContext(c.t), in)
	if err != nil {
		c.t.Error(err) // called by other goroutines as well
		out = &peerpb.PushResultsResponse{}
	}
	return out
}

// results checks that each result of a job is recorded once, in order of items, and
// returns their number.
func (c *cluster) results(i *instance, job string) int {
	c.t.Helper()
	count, last := 0, -1
	refusal, err := i.ReadResults(shortContext(c.t), &peerpb.JobRequest{Workspace: workspace, JobId: job}, func(r *recordpb.ItemResult) error {
		if want := fmt.Sprintf("result of line %d", r.Item); int(r.Item) <= last || string(r.Body) != want {
			c.t.Errorf("item %d after %d has result %q", r.Item, last, r.Body)
		}
		count, last = count+1, int(r.Item)
		return nil
	})
	if refusal != nil || err != nil {
		c.t.Fatalf("ReadResults: %v, %v", refusal, err)
	}
	return count
}

func (c *cluster) getJob(i *instance, job string) *peerpb.JobInfo {
	out, err := i.Get(shortContext(c.t), &peerpb.JobRequest{Workspace: workspace, JobId: job})
	if err != nil || out.Refusal != nil {
		c.t.Fatalf("Get: %v, %v", out.GetRefusal(), err)
	}
	return out
}

// batches decodes the records on the partition's stream.
func (c *cluster) batches() (out []*recordpb.Batch) {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	for _, r := range c.log.stream(ident.PartitionStream(0)).records {
		if b, err := record.Decode(r.Payload); err == nil {
			out = append(out, b)
		}
	}
	return out
}
