package jobs_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/domain/origin"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/jobs"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/platform"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/pathselect"
	"github.com/jacinthnotch/jacinthnotch/policy/poison"
	"github.com/jacinthnotch/jacinthnotch/standin/store"
)

const (
	testHost = "h.example"
	// testTimeout is how long a test waits for an expected event before it fails.
	testTimeout = 20 * time.Second
)

// protocol implements gateway.Protocol and jobs.Codec with header names of its own, because
// the package must not depend on any particular ones.
type protocol struct{}

func (protocol) ParseRequest(http.Header) serving.Request { return serving.Request{} }

func (protocol) SetAttemptHeaders(h http.Header, server string, _ time.Duration, after int64, resumes bool) {
	h.Set("Expect-Server", server)
	if resumes {
		h.Set("After", strconv.FormatInt(after, 10))
	}
}

func (protocol) ParseResponse(_ int, h http.Header) serving.Response {
	return serving.Response{RequestID: h.Get("Id"), NotRun: h.Get("Refused") != "", Signed: h.Get("Signature") != "", Leaving: h.Get("Leaving") != ""}
}

func (protocol) SetRetryAfter(http.Header, time.Duration) {}
func (protocol) SetRequestID(h http.Header, id string)    { h.Set("Id", id) }
func (protocol) IsReservedHeader(name string) bool        { return name == "Expect-Server" }
func (protocol) ParseSubmission(b []byte) ([]jobs.Item, error) {
	var items []jobs.Item
	err := json.Unmarshal(b, &items)
	return items, err
}

func (protocol) ParseCall(r *http.Request, _ bool) (jobs.Call, bool) {
	kind, _ := strconv.Atoi(r.Header.Get("Kind"))
	after, _ := strconv.Atoi(r.Header.Get("From"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait"))
	return jobs.Call{
		Kind: jobs.CallKind(kind), Job: r.Header.Get("Job"), Item: r.Header.Get("Item"), After: after,
		Wait: time.Duration(wait) * time.Millisecond,
	}, kind != 0
}

func (protocol) CallerKey(h http.Header) string { return h.Get("Key") }

func (protocol) SetWorkspace(h http.Header, workspace string) {
	h.Del("Key")
	h.Set("Workspace", workspace)
}

// resultPage is the test's encoding of results.
type resultPage struct {
	Total   int
	Results []jobs.ItemResult
}

func (protocol) EncodeResults(total, _ int, results []jobs.ItemResult) ([]byte, error) {
	return json.Marshal(resultPage{total, results})
}

// members is the membership as all instances see it.
type members struct {
	mu    sync.Mutex
	alive map[string]uint32
}

func (m *members) Alive() map[string]uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	alive := map[string]uint32{}
	for name, incarnation := range m.alive {
		alive[name] = incarnation
	}
	return alive
}

func (m *members) set(name string, incarnation uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if incarnation == 0 {
		delete(m.alive, name)
		return
	}
	m.alive[name] = incarnation
}

type localPlacer struct{ view *fleet.View }

func (p localPlacer) Place(q balance.Query) (*fleet.Lease, *balance.Rejection) {
	q.CompleteView = true
	lease, ok := p.view.Pick(q)
	if !ok {
		return nil, &balance.Rejection{}
	}
	return lease, nil
}

// modelServer is a model server that responds with the output of the item.
type modelServer struct {
	listener net.Listener
	mu       sync.Mutex
	runs     map[string]int
	// respond may write the response of a run instead. It returns false if it did not.
	respond func(c net.Conn, r *http.Request, run int) bool
}

// events is the number of events of each output.
const events = 4

func output(id string) string {
	text := ""
	for n := 1; n <= events; n++ {
		if n > 1 {
			text += "\n"
		}
		text += fmt.Sprintf("%s-%d", id, n)
	}
	return text
}

func (s *modelServer) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *modelServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			id := r.Header.Get("Id")
			s.mu.Lock()
			run, respond := s.runs[id], s.respond
			s.runs[id]++
			s.mu.Unlock()
			if respond == nil || !respond(conn, r, run) {
				writeHead(conn, id)
				from, _ := strconv.Atoi(r.Header.Get("After"))
				for n := from + 1; n <= events; n++ {
					writeEvent(conn, id, n)
				}
				fmt.Fprint(conn, "0\r\n\r\n")
			}
		}()
	}
}

func writeHead(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nId: %s\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
}

func writeEvent(c net.Conn, id string, n int) {
	text := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
	fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
}

func writeStatus(c net.Conn, id string, code int) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nConnection: close\r\nId: %s\r\nContent-Length: 0\r\n\r\n", code, id)
}

// cluster is a store, a model server and the instances.
type cluster struct {
	t       *testing.T
	store   *store.Store
	server  *modelServer
	members *members
	// versions holds the versions of the servers s0, s1 and so on, which are all at the address of
	// the model server; one server if it is empty.
	versions []string
	// maxWaitingTokens is the limit on waiting tokens of the route at instances that are
	// started later.
	maxWaitingTokens int64
	// workspaces is nil if callers need no keys.
	workspaces *workspace.Directory
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &cluster{t: t, store: store.New(), server: &modelServer{listener: l, runs: map[string]int{}}, members: &members{alive: map[string]uint32{}}}
	go s.server.serve()
	t.Cleanup(func() { _ = l.Close(); s.store.Close() })
	return s
}

// instance is the part of an instance that serves calls about jobs and runs their items.
type instance struct {
	*cluster
	name   string
	url    string
	index  *jobs.Index
	view   *fleet.View
	runner *jobs.Runner
	kill   func()

	mu sync.Mutex
	// reachability is that of the store, as far as the instance knows.
	reachability pathselect.Reachability
}

// setReachability sets the reachability of the store as seen by the instance.
func (i *instance) setReachability(reachability pathselect.Reachability) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reachability = reachability
}

// Reachability implements jobs.StorePath.
func (i *instance) Reachability() pathselect.Reachability {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reachability
}

// noAnswers records nothing.
type noAnswers struct{}

func (noAnswers) RecordAnswer(poison.Request) {}

// sureOrigins trusts the versions that the entries of servers state.
type sureOrigins struct{}

func (sureOrigins) Confirm(context.Context, origin.Origin, time.Time) bool { return true }

// CallTimeout implements jobs.StorePath.
func (i *instance) CallTimeout() time.Duration { return pathselect.NewPaths().AttemptTimeout() }

// entries returns the entries of the servers.
func (s *cluster) entries() []port.Entry[serving.Server] {
	versions := s.versions
	if len(versions) == 0 {
		versions = []string{""}
	}
	var entries []port.Entry[serving.Server]
	for i, version := range versions {
		id := fmt.Sprint("s", i)
		entries = append(entries, port.Entry[serving.Server]{Key: id, Value: &serving.Server{
			ID: id, Service: "svc", Address: s.server.listener.Addr().String(), Version: version, Slots: 8,
		}})
	}
	return entries
}

// start starts an instance. The incarnation distinguishes the starts of one instance.
func (s *cluster) start(name string, incarnation uint32) *instance {
	s.t.Helper()
	client := platform.NewStore(s.store.Address(), exchange.DialControl)
	view := fleet.NewView(rand.New(rand.NewPCG(uint64(incarnation), 2)))
	view.ApplyServers(s.entries(), true)
	route := &serving.Route{Name: "batch", Host: testHost, PathPrefix: "/b/", Kind: serving.Batch, MaxAttempts: 3, DueAfter: time.Minute, MaxWaitingTokens: s.maxWaitingTokens, Targets: []serving.Target{{Service: "svc", Weight: 1}}}
	revision := &serving.Revision{Version: 1, Routes: []*serving.Route{route}}
	revision.Index()
	view.ApplyConfig([]port.Entry[serving.Revision]{{Key: "c", Value: revision}}, true)
	pool := exchange.NewPool(exchange.Options{})
	blobs := jobs.NewBlobStore(client, jobs.BlobStoreOptions{RecordBytes: 64 << 10, CallBytes: 1 << 20, Partitions: 4, CacheBytes: 1 << 20})
	i := &instance{cluster: s, name: name, index: jobs.NewIndex(client), view: view}
	i.runner = &jobs.Runner{
		Index: i.index, Blobs: blobs, View: view, Pool: pool, Protocol: protocol{}, Codec: protocol{}, Members: s.members,
		Placer: localPlacer{view}, Metrics: &jobs.Metrics{}, Answers: noAnswers{}, Origins: sureOrigins{}, Self: joblog.Holder{Instance: name, Incarnation: incarnation},
	}
	i.runner.Init()
	service := &jobs.Service{
		StorePath: i, Index: i.index, Blobs: blobs, Runner: i.runner, Codec: protocol{}, Revision: view.Revision, Self: i.runner.Self,
		Refuse: func(w http.ResponseWriter, status int, _ time.Duration, cause string) { http.Error(w, cause, status) },
	}
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		service.Serve(w, r, route, s.workspaces.Identify(protocol{}.CallerKey(r.Header)))
	}))
	i.url = front.URL
	s.members.set(name, incarnation)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for _, task := range []func(context.Context){i.index.Follow, i.index.RunAppends, i.runner.Run} {
		tasks.Go(func() { task(ctx) })
	}
	var once sync.Once
	i.kill = func() {
		once.Do(func() {
			s.members.set(name, 0)
			cancel()
			front.CloseClientConnections()
			front.Close()
			tasks.Wait()
			pool.Close()
		})
	}
	s.t.Cleanup(i.kill)
	return i
}

// call makes a call about a job. It returns status 0 if there was no response.
func (i *instance) call(kind jobs.CallKind, job string, body []byte, header ...string) (int, []byte) {
	i.t.Helper()
	r, err := http.NewRequest(http.MethodPost, i.url+"/b/x", bodyReader(body))
	if err != nil {
		i.t.Fatal(err)
	}
	r.Host = testHost
	r.Header.Set("Kind", strconv.Itoa(int(kind)))
	r.Header.Set("Job", job)
	for n := 0; n < len(header); n += 2 {
		r.Header.Set(header[n], header[n+1])
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, raw
}

// tokensPerItem is the size of each item of a submission.
const tokensPerItem = 100

func submission(ids ...string) []byte {
	var items []jobs.Item
	for _, id := range ids {
		items = append(items, jobs.Item{ID: id, Path: "/b/" + id, Body: []byte("body of " + id), Tokens: tokensPerItem})
	}
	raw, _ := json.Marshal(items)
	return raw
}

// awaitResults reads the results of a job from the instance until there are n.
func (i *instance) awaitResults(job string, n int) []jobs.ItemResult {
	i.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var results []jobs.ItemResult
	for ctx.Err() == nil {
		code, raw := i.call(jobs.ReadResults, job, nil, "From", strconv.Itoa(len(results)), "Wait", "200")
		if code != http.StatusOK {
			continue
		}
		var page resultPage
		if err := json.Unmarshal(raw, &page); err != nil {
			i.t.Fatal(err)
		}
		if results = append(results, page.Results...); len(results) >= n {
			return results
		}
	}
	i.t.Fatalf("%d of %d results of %s at %s", len(results), n, job, i.name)
	return nil
}
