package plain

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/client"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/standin/local"
	"github.com/jacinthnotch/jacinthnotch/standin/plain"
)

type fleet struct {
	*local.Set
	pool    *servers.Pool
	service *Service
}

func startFleet(t testing.TB, n int) *fleet {
	t.Helper()
	set, err := local.Start(local.Options{Plains: n})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(set.Close)
	conns := client.NewPool(client.Options{})
	doc := &config.Document{Services: map[string]*config.Service{"plain": {Kind: config.ServiceKindPlain, HeaderTimeoutMs: 200}}}
	p := servers.New(servers.Options{
		Instance: "i-1", DataCentre: "dc-1", Directory: client.NewDirectory(set.List.Addr(), client.Options{}),
		Document: func() *config.Document { return doc },
		NewPlain: func(a string) port.PlainService { return client.NewPlain(a, conns) }, Seed: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { p.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait(); conns.Close() })
	for _, id := range set.PlainIDs {
		for g := p.Group("plain"); g == nil || !g.Available(id); g = p.Group("plain") {
			time.Sleep(time.Millisecond)
		}
	}
	return &fleet{Set: set, pool: p, service: New(p)}
}

func (f *fleet) do(t testing.TB, method, key string, idempotent bool) (*api.Answer, error) {
	t.Helper()
	path := "/bookings/a%2Fb"
	return f.service.Do(t.Context(), &api.PlainRequest{ID: key, Workspace: "w", Service: "plain", Method: method, Path: path, RawQuery: "x=1",
		Headers: []api.Header{{Name: plain.KeyHeader, Value: key}}, Body: []byte("body"), Idempotent: idempotent,
		Deadline: time.Now().Add(10 * time.Second), Fingerprint: ident.Fingerprint(method, path, []byte(key))})
}

func (f *fleet) counts(key string) int {
	n := 0
	for _, p := range f.Plains {
		n += p.Counts()[key]
	}
	return n
}

func (f *fleet) setFaults(faults plain.Faults) {
	for _, p := range f.Plains {
		p.SetFaults(faults)
	}
}

func (f *fleet) warmUp(t testing.TB) {
	t.Helper()
	for i := range 30 {
		if _, err := f.do(t, http.MethodGet, fmt.Sprint("warm", i), true); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against running a non-idempotent request twice when the server closes the
// connection after reading the request, drops the request or does not answer.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	f := startFleet(t, 3)
	f.warmUp(t)
	for i, fault := range []plain.Faults{{CloseNext: 2}, {SilentNext: 2}, {DropNext: 2}, {CloseNext: 1}} {
		f.setFaults(fault)
		key := fmt.Sprint("confirm", i)
		_, err := f.do(t, http.MethodPost, key, false)
		if r := api.AsRefusal(err); r == nil || r.Outcome != api.Unknown {
			t.Errorf("%+v: %v, want outcome %s", fault, err, api.Unknown)
		}
		if n := f.counts(key); n > 1 {
			t.Errorf("%+v: the action ran %d times", fault, n)
		}
	}
}

// Guards against reporting an outcome other than NotRun when no server accepts
// connections.
func TestNotRunIfNoServerAcceptsConnections(t *testing.T) {
	f := startFleet(t, 2)
	for _, p := range f.Plains {
		p.Kill()
	}
	_, err := f.do(t, http.MethodPost, "down", false)
	if r := api.AsRefusal(err); r == nil || r.Outcome != api.NotRun {
		t.Errorf("all servers down: %v, want outcome %s", err, api.NotRun)
	}
}

// Guards against altering requests or answers, and against replacing or retrying an
// answer with an error status that the service itself returned.
func TestAnswersAreForwardedUnchanged(t *testing.T) {
	f := startFleet(t, 1)
	a, err := f.do(t, http.MethodPost, "k", true)
	if err != nil {
		t.Fatal(err)
	}
	var e plain.Echo
	if err := json.Unmarshal(a.Body, &e); err != nil || e.Method != http.MethodPost || e.Path != "/bookings/a%2Fb" && e.Path != "/bookings/a/b" ||
		e.Query != "x=1" || string(e.Body) != "body" || e.Key != "k" {
		t.Errorf("echo %s (%v)", a.Body, err)
	}
	f.setFaults(plain.Faults{FailNext: 1})
	if a, err = f.do(t, http.MethodPost, "failed", true); err != nil || a.Status != http.StatusInternalServerError {
		t.Errorf("Do = %+v, %v; want the server's 500", a, err)
	}
	if n := f.counts("failed"); n != 1 {
		t.Errorf("the action ran %d times, want 1", n)
	}
}

// Guards against failing an idempotent request when one server is down or one
// connection is lost.
func TestIdempotentIsRetried(t *testing.T) {
	f := startFleet(t, 3)
	f.warmUp(t)
	f.Plains[0].Kill()
	f.Plains[1].SetFaults(plain.Faults{CloseNext: 1})
	for i := range 10 {
		if _, err := f.do(t, http.MethodGet, fmt.Sprint("get", i), true); err != nil {
			t.Errorf("request %d: %v", i, err)
		}
	}
}
