package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/owner"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// TestMain uses the shared codec once, because its pool of encoders is created on
// first use, which must not happen in a synctest bubble.
func TestMain(m *testing.M) {
	if _, err := record.Encode(&recordpb.Batch{}); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// memLog is an in-memory log that can be made unavailable.
type memLog struct {
	mu      sync.Mutex
	down    bool
	streams map[string][]port.Record
	grown   chan struct{}
}

func (l *memLog) Append(_ context.Context, name string, payload []byte) (int64, error) {
	time.Sleep(5 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, port.ErrUnavailable
	}
	offset := int64(len(l.streams[name]))
	l.streams[name] = append(l.streams[name], port.Record{Offset: offset, Payload: payload})
	close(l.grown)
	l.grown = make(chan struct{})
	return offset, nil
}

func (l *memLog) Read(ctx context.Context, name string, from int64, maxBytes int, wait time.Duration) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		l.mu.Lock()
		all, grown, down := l.streams[name], l.grown, l.down
		l.mu.Unlock()
		page := port.Page{End: int64(len(all))}
		size := 0
		for _, r := range all[min(int(from), len(all)):] {
			if size > 0 && size+len(r.Payload) > maxBytes {
				break
			}
			page.Records, size = append(page.Records, r), size+len(r.Payload)
		}
		if down {
			return port.Page{}, port.ErrUnavailable
		}
		if size > 0 || ctx.Err() != nil {
			return page, nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
		}
	}
}

// testNetwork connects instances with in-memory pipes.
type testNetwork struct {
	mu        sync.Mutex
	preferred string
	muxes     map[string]*drpcmux.Mux
	conns     map[string][]net.Conn
	log       *memLog
}

type testNode struct {
	*Store
	name    string
	network *testNetwork
	stop    context.CancelFunc
}

func (n *testNode) Preferred(int) (string, bool) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	return n.network.preferred, n.network.preferred == n.name
}
func (n *testNode) Address(instance string) (string, bool) { return instance, true }
func (n *testNode) Changes() <-chan struct{}               { return nil }
func (n *testNode) Alive(instance string) bool {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	return n.network.muxes[instance] != nil
}

func (n *testNode) Conn(_ context.Context, address string) drpc.Conn {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	clientEnd, serverEnd := net.Pipe()
	if mux := n.network.muxes[address]; mux != nil {
		n.network.conns[address] = append(n.network.conns[address], serverEnd)
		go func() { _ = drpcserver.New(mux).ServeOne(context.Background(), serverEnd) }()
	} else {
		serverEnd.Close()
	}
	return drpcconn.New(clientEnd)
}

func (network *testNetwork) start(t *testing.T, name string) *testNode {
	ctx, cancel := context.WithCancel(context.Background())
	n := &testNode{name: name, network: network, stop: cancel}
	m := owner.NewManager(owner.Options{Instance: name, Incarnation: uint64(time.Now().UnixMilli()), Partitions: 2, Log: network.log, Preference: n})
	mux := drpcmux.New()
	if err := m.Register(mux, nil); err != nil {
		t.Fatal(err)
	}
	network.mu.Lock()
	network.muxes[name] = mux
	network.mu.Unlock()
	n.Store = New(Options{Instance: name, Partitions: 2, Local: m, Preference: n, Peers: n})
	done := make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	t.Cleanup(func() { network.kill(n); <-done })
	return n
}

func (network *testNetwork) kill(n *testNode) {
	n.stop()
	network.mu.Lock()
	defer network.mu.Unlock()
	delete(network.muxes, n.name)
	for _, c := range network.conns[n.name] {
		c.Close()
	}
	delete(network.conns, n.name)
}

func (network *testNetwork) setPreferred(name string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.preferred = name
}

func runInNetwork(t *testing.T, f func(t *testing.T, network *testNetwork)) {
	synctest.Test(t, func(t *testing.T) {
		f(t, &testNetwork{muxes: map[string]*drpcmux.Mux{}, conns: map[string][]net.Conn{},
			log: &memLog{streams: map[string][]port.Record{}, grown: make(chan struct{})}})
	})
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func beginRequest(key string, nonIdempotent bool) api.BeginRequest {
	return api.BeginRequest{Workspace: "w", Key: key, Fingerprint: []byte("f"), NonIdempotent: nonIdempotent, Deadline: time.Now().Add(time.Minute)}
}

func finishRequest(key, body string) api.FinishRequest {
	return api.FinishRequest{Workspace: "w", Key: key, Fingerprint: []byte("f"), Result: api.CallResult{Outcome: api.Ran,
		Answer: api.Answer{Status: 200, Headers: []api.Header{{Name: "A", Value: "b"}}, Body: []byte(body)}}}
}

// Guards against a call that is sent again through another instance and then runs
// twice or does not get the answer of the first attempt.
func TestResentCallRunsOnce(t *testing.T) {
	runInNetwork(t, func(t *testing.T, network *testNetwork) {
		network.setPreferred("a")
		network.start(t, "a")
		b, c := network.start(t, "b"), network.start(t, "c")
		for _, nonIdempotent := range []bool{false, true} {
			key := fmt.Sprint("k", nonIdempotent)
			if r, err := b.Begin(withTimeout(t, time.Minute), beginRequest(key, nonIdempotent)); err != nil || r.State != api.StateMayRun {
				t.Fatalf("begin: %v, %v", r, err)
			}
			joined := make(chan api.BeginResult, 1)
			go func() {
				r, err := c.Begin(withTimeout(t, time.Minute), beginRequest(key, nonIdempotent))
				if err != nil {
					t.Error(err)
				}
				joined <- r
			}()
			time.Sleep(20 * time.Second) // longer than one attempt waits at the owner
			if got, err := b.Finish(withTimeout(t, time.Minute), finishRequest(key, "x")); err != nil || string(got.Answer.Body) != "x" {
				t.Fatalf("finish: %v, %v", got, err)
			}
			if r := <-joined; r.State != api.StateDone || string(r.Result.Answer.Body) != "x" || r.Result.Answer.Headers[0].Value != "b" {
				t.Errorf("joined: %v", r)
			}
		}
		// An abandoned call can be begun once more. A repeated report of the
		// abandoned attempt does not end the second one.
		if r, err := b.Begin(withTimeout(t, time.Minute), beginRequest("again", true)); err != nil || r.State != api.StateMayRun {
			t.Fatalf("begin: %v, %v", r, err)
		}
		abandon := finishRequest("again", "")
		abandon.Abandoned, abandon.NonIdempotent = true, true
		if _, err := b.Finish(withTimeout(t, time.Minute), abandon); err != nil {
			t.Fatal(err)
		}
		if r, err := c.Begin(withTimeout(t, time.Minute), beginRequest("again", true)); err != nil || r.State != api.StateMayRun {
			t.Errorf("begin after the call was abandoned: %v, %v", r, err)
		}
		if _, err := b.Finish(withTimeout(t, time.Minute), abandon); err != nil { // a repeated report
			t.Fatal(err)
		}
		if r, err := b.Begin(withTimeout(t, 3*time.Second), beginRequest("again", true)); err != nil || r.State != api.StateRunning {
			t.Errorf("begin of a running call: %v, %v", r, err)
		}
		other := beginRequest("kfalse", false)
		other.Fingerprint = []byte("g")
		if r, err := c.Begin(withTimeout(t, time.Minute), other); err != nil || r.State != api.StateConflict {
			t.Errorf("other content: %v, %v", r, err)
		}
		if r, err := c.Begin(withTimeout(t, 3*time.Second), beginRequest("open", false)); err != nil || r.State != api.StateMayRun {
			t.Fatal(r, err)
		}
		if r, err := b.Begin(withTimeout(t, 3*time.Second), beginRequest("open", false)); err != nil || r.State != api.StateRunning {
			t.Errorf("join until the deadline: %v, %v", r, err)
		}
	})
}

// Guards against a job that is lost or created twice when its submission fails
// between binding the key and creating the job and is sent again through another
// instance, and against files and results that are incomplete when read through a
// peer.
func TestResentJobIsRepaired(t *testing.T) {
	runInNetwork(t, func(t *testing.T, network *testNetwork) {
		network.setPreferred("a")
		a := network.start(t, "a")
		b := network.start(t, "b")
		var lines [][]byte
		for k := range 3000 {
			lines = append(lines, bytes.Repeat([]byte{byte('a' + k%26)}, 1000+k%7))
		}
		file := api.File{ID: ident.FileID("w", "batch", []byte("1"), 2), Workspace: "w", Digest: []byte("1")}
		each := func(yield func([]byte) bool) {
			for _, l := range lines {
				if !yield(l) {
					return
				}
			}
		}
		ctx := withTimeout(t, time.Minute)
		if f, err := b.PutFile(ctx, file, each); err != nil || f.Lines != len(lines) {
			t.Fatalf("PutFile: %v, %v", f, err)
		}
		p, _ := ident.FilePartition(file.ID)
		bind := api.BindKeyRequest{Workspace: "w", Key: "job", Content: []byte("1"), JobID: ident.JobID("w", "job", "", p)}
		id, err := b.BindKey(ctx, bind)
		if err != nil {
			t.Fatal(err)
		}
		network.kill(a)
		network.setPreferred("b")
		if again, err := b.BindKey(withTimeout(t, time.Minute), bind); err != nil || again != id {
			t.Fatalf("BindKey again: %s, %v", again, err)
		}
		c := network.start(t, "c")
		spec := api.JobSpec{ID: id, Workspace: "w", Key: "job", FileID: file.ID, Model: "m", Due: time.Now().Add(time.Hour), Window: "24h"}
		job, err := c.Create(withTimeout(t, time.Minute), spec)
		if err != nil || job.Items != len(lines) || job.Window != "24h" || job.Status != api.JobInProgress {
			t.Fatalf("Create: %v, %v", job, err)
		}
		bind.Content = []byte("2")
		r := (*api.Refusal)(nil)
		if _, err := c.BindKey(ctx, bind); !errors.As(err, &r) || r.Code != api.CodeKeyConflict || r.Status != 409 {
			t.Errorf("BindKey with other content: %v", err)
		}
		next := 10
		if err := c.FileContent(withTimeout(t, time.Minute), "w", file.ID, next, func(l []byte) error {
			if !bytes.Equal(l, lines[next]) {
				return fmt.Errorf("line %d differs", next)
			}
			next++
			return nil
		}); err != nil || next != len(lines) {
			t.Errorf("FileContent: %d lines, %v", next, err)
		}
		time.Sleep(2 * time.Second)
		pulled, err := b.opts.Local.PullItems(withTimeout(t, time.Minute), &peerpb.PullItemsRequest{Director: "b", Model: "m", MaxItems: 400})
		if err != nil || len(pulled.Items) != 400 {
			t.Fatalf("PullItems: %d, %v", len(pulled.GetItems()), err)
		}
		push := &peerpb.PushResultsRequest{Director: "b", JobId: id}
		for _, it := range pulled.Items {
			push.Results = append(push.Results, &recordpb.ItemResult{Item: it.Index, Outcome: recordpb.Outcome_OUTCOME_DONE, Body: it.Line})
		}
		if out, err := b.opts.Local.PushResults(withTimeout(t, time.Minute), push); err != nil || out.Refusal != nil {
			t.Fatalf("PushResults: %v, %v", out, err)
		}
		seen := 0
		if err := c.Results(withTimeout(t, time.Minute), "w", id, func(r *api.ItemResult) error {
			if r.Item != seen || !bytes.Equal(r.Body, lines[r.Item]) {
				t.Errorf("result %d is of item %d", seen, r.Item)
			}
			seen++
			return nil
		}); err != nil || seen != 400 {
			t.Errorf("Results: %d, %v", seen, err)
		}
		page, err := c.List(withTimeout(t, time.Minute), "w", "", 10)
		if err != nil || len(page.Jobs) != 1 || page.More || page.Jobs[0].Completed != 400 {
			t.Errorf("List: %v, %v", page, err)
		}
		files, err := c.Files(withTimeout(t, time.Minute), "w", file.ID, 10)
		if err != nil || len(files.Files) != 0 {
			t.Errorf("Files after the only one: %v, %v", files, err)
		}
		if _, err := c.Get(ctx, "other", id); !errors.As(err, &r) || r.Code != api.CodeNotFound {
			t.Errorf("job of another workspace: %v", err)
		}
	})
}

// Guards against a repeated report of an abandoned attempt that abandons a later
// attempt of the same call at the same instance.
func TestRepeatedAbandonKeepsLaterAttempt(t *testing.T) {
	s := attemptTracker{byCall: map[callKey]trackedAttempt{}}
	k := callKey{"w", "k"}
	s.track(k, "1")
	if got := s.abandon(k); got != "1" {
		t.Errorf("abandoned attempt %q, want 1", got)
	}
	s.track(k, "2") // the owner's answer to the first abandon was lost
	if got := s.abandon(k); got != "1" {
		t.Errorf("abandoned attempt %q, want 1", got)
	}
	s.forget(k, "1")
	s.track(k, "3")
	if got := s.abandon(k); got != "3" {
		t.Errorf("abandoned attempt %q, want 3", got)
	}
}

// Guards against a request that hangs when there is no owner, and against a
// refusal with a wrong outcome.
func TestNoOwner(t *testing.T) {
	runInNetwork(t, func(t *testing.T, network *testNetwork) {
		network.setPreferred("gone")
		b := network.start(t, "b")
		start := time.Now()
		_, err := b.Begin(withTimeout(t, time.Minute), beginRequest("k", false))
		r := api.AsRefusal(err)
		if r == nil || r.Code != api.CodeOwnerUnavailable || r.Outcome != api.NotRun || time.Since(start) > 5*time.Second {
			t.Errorf("idempotent call: %v after %v", err, time.Since(start))
		}
		if _, err = b.List(withTimeout(t, time.Minute), "w", "", 10); api.AsRefusal(err).Code != api.CodeOwnerUnavailable {
			t.Errorf("list: %v", err)
		}
		network.setPreferred("a")
		network.start(t, "a")
		if r, err := b.Begin(withTimeout(t, time.Minute), beginRequest("k", true)); err != nil || r.State != api.StateMayRun {
			t.Errorf("begin: %v, %v", r, err)
		}
		network.log.mu.Lock()
		network.log.down = true
		network.log.mu.Unlock()
		for k, first := 0, true; k < 16; k++ {
			key := fmt.Sprint("down", k)
			if ident.KeyPartition("w", key, 2) != 0 {
				continue
			}
			_, err = b.Begin(withTimeout(t, 20*time.Second), beginRequest(key, true))
			if first { // the append of the first call detects the outage
				first = false
				continue
			}
			break
		}
		if r := api.AsRefusal(err); r == nil || r.Code != api.CodeLogUnavailable || r.Outcome != api.NotRun {
			t.Errorf("non-idempotent call in an outage: %v", err)
		}
	})
}
