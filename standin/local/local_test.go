package local_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/client"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/kit"
	"github.com/jacinthnotch/jacinthnotch/standin/list"
	"github.com/jacinthnotch/jacinthnotch/standin/local"
	"github.com/jacinthnotch/jacinthnotch/standin/log"
	"github.com/jacinthnotch/jacinthnotch/standin/plain"
	"github.com/jacinthnotch/jacinthnotch/standin/weights"
)

var epoch = time.Unix(1e9, 0)

func start(t *testing.T, o local.Options) *local.Set {
	t.Helper()
	s, err := local.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// Guards against an append that is reported as having no effect although its record is on
// the stream or is added later, and against an outage that affects other clients.
func TestLogFaults(t *testing.T) {
	s := start(t, local.Options{})
	ctx := context.Background()
	c, other := client.NewLog(s.Log.Addr(), "a", client.Options{}), client.NewLog(s.Log.Addr(), "b", client.Options{})
	if off, err := c.Append(ctx, "x/y", []byte("0")); off != 0 || err != nil {
		t.Fatal(off, err)
	}
	s.Log.SetFaults(log.Faults{LoseNext: 1})
	if _, err := c.Append(ctx, "x/y", []byte("1")); !errors.Is(err, port.ErrOutcomeUnknown) {
		t.Fatalf("lost response: %v", err)
	}
	s.Log.SetFaults(log.Faults{LateNext: 1})
	if _, err := c.Append(ctx, "x/y", []byte("late")); !errors.Is(err, port.ErrOutcomeUnknown) {
		t.Fatalf("late append: %v", err)
	}
	if off, err := c.Append(ctx, "x/y", []byte("2")); off != 2 || err != nil {
		t.Fatal(off, err)
	}
	if n := s.Log.ReleaseLate(); n != 1 {
		t.Fatalf("%d appends were late", n)
	}
	page, err := c.Read(ctx, "x/y", 1, 1<<20, 0)
	got := ""
	for _, r := range page.Records {
		got += fmt.Sprintf("%d=%s ", r.Offset, r.Payload)
	}
	if err != nil || page.End != 4 || got != "1=1 2=2 3=late " {
		t.Fatalf("%s, %+v, %v", got, page, err)
	}
	for _, cut := range []bool{false, true} {
		s.Log.SetFaults(log.Faults{Outage: true, OutageClients: []string{"a"}, Cut: cut})
		_, err = c.Append(ctx, "x/y", nil)
		if want := port.ErrUnavailable; !cut && !errors.Is(err, want) {
			t.Fatalf("outage: %v", err)
		}
		if want := port.ErrOutcomeUnknown; cut && !errors.Is(err, want) {
			t.Fatalf("outage that closes connections: %v", err)
		}
		if _, err := other.Append(ctx, "z", nil); err != nil {
			t.Fatalf("client outside the outage: %v", err)
		}
	}
	if _, records := s.Log.Records("x/y"); len(records) != 4 {
		t.Fatalf("%d records: an append was repeated or an outage had an effect", len(records))
	}
	s.Log.Kill()
	if _, err := other.Append(ctx, "z", nil); !errors.Is(err, port.ErrUnavailable) {
		t.Fatalf("append to a killed log over a pooled connection: %v", err)
	}
	if err := s.Log.Restart(); err != nil {
		t.Fatal(err)
	}
	if off, err := other.Append(ctx, "z", nil); off != 2 || err != nil {
		t.Fatalf("append after the restart: offset %d, %v", off, err)
	}
}

// Guards against a read of expired records that returns an empty page, against an append
// rate above the limit, and against long polls that miss an append or never end.
func TestLogRetentionRateAndLongPoll(t *testing.T) {
	clock := kit.NewManualClock(epoch)
	s := start(t, local.Options{Log: log.Options{Rate: 10, Burst: 4, MaxAge: kit.Duration(time.Hour), MaxCount: 3, Clock: clock}})
	c := client.NewLog(s.Log.Addr(), "", client.Options{})
	ctx := context.Background()
	for range 4 {
		if _, err := c.Append(ctx, "p", []byte("r")); err != nil {
			t.Fatal(err)
		}
	}
	var status *port.StatusError
	_, err := c.Append(ctx, "p", []byte("r"))
	if !errors.Is(err, port.ErrUnavailable) || !errors.As(err, &status) || status.RetryAfter != 100*time.Millisecond {
		t.Fatalf("append above the rate: %v", err)
	}
	var expired *port.ExpiredError
	if _, err := c.Read(ctx, "p", 0, 1, 0); !errors.As(err, &expired) || expired.First != 1 {
		t.Fatalf("retention by count: %v", err)
	}
	if page, err := c.Read(ctx, "p", 1, 1, 0); err != nil || len(page.Records) != 1 {
		t.Fatalf("a page above the byte limit must have one record: %+v, %v", page, err)
	}
	clock.Advance(2 * time.Hour)
	if _, err := c.Read(ctx, "p", 3, 1, 0); !errors.As(err, &expired) || expired.First != 4 {
		t.Fatalf("retention by age: %v", err)
	}
	read := func(from int64) chan port.Page {
		done := make(chan port.Page, 1)
		go func() {
			page, err := c.Read(ctx, "p", from, 1024, time.Second)
			if err != nil {
				t.Error(err)
			}
			done <- page
		}()
		clock.WaitForTimers(1)
		return done
	}
	endedByAppend := read(4)
	if _, err := c.Append(ctx, "p", []byte("new")); err != nil {
		t.Fatal(err)
	}
	if page := <-endedByAppend; len(page.Records) != 1 || string(page.Records[0].Payload) != "new" {
		t.Fatalf("long poll: %+v", page)
	}
	endedByTimeout := read(5)
	clock.Advance(time.Second)
	if page := <-endedByTimeout; len(page.Records) != 0 || page.End != 5 {
		t.Fatalf("long poll without an append: %+v", page)
	}
}

// Guards against changes that become visible without the configured lag. Tests of the readers
// rely on the lag to find faults.
func TestListLag(t *testing.T) {
	clock := kit.NewManualClock(epoch)
	s := start(t, local.Options{Engines: 1, List: list.Options{Clock: clock, TTL: kit.Duration(time.Minute)}})
	s.List.SetFaults(list.Faults{ArrivalLag: kit.Duration(2 * time.Second), DepartureLag: kit.Duration(3 * time.Second)})
	c := client.NewDirectory(s.List.Addr(), client.Options{})
	ctx := context.Background()
	check := func(step string, instances int, leaving bool) {
		t.Helper()
		l, err := c.List(ctx)
		if err != nil || len(l.Instances) != instances || len(l.Servers) != 1 || l.Servers[0].Leaving != leaving {
			t.Fatalf("%s: %+v, %v", step, l, err)
		}
	}
	if err := c.Register(ctx, port.InstanceEntry{ID: "i", PeerAddress: "127.0.0.1:1"}); err != nil {
		t.Fatal(err)
	}
	s.MarkLeaving("engine-1")
	check("before the lag", 0, false)
	clock.Advance(2 * time.Second)
	check("after the arrival lag", 1, false)
	clock.Advance(time.Second)
	check("after the departure lag", 1, true)
	clock.Advance(58 * time.Second)
	check("after the TTL but within the lag", 1, true)
	clock.Advance(3 * time.Second)
	check("after the TTL and the lag", 0, true)
	// The removal becomes visible before the arrival, although it is newer.
	s.List.SetFaults(list.Faults{ArrivalLag: kit.Duration(2 * time.Second)})
	s.AddInstance("ghost", "127.0.0.1:2", "dc-1", 100, 0)
	s.List.RemoveInstance("ghost")
	clock.Advance(2 * time.Second)
	check("after a removal that became visible before the arrival", 0, true)
	s.List.SetFaults(list.Faults{Outage: true})
	if _, err := c.List(ctx); !errors.Is(err, port.ErrUnavailable) {
		t.Fatalf("outage: %v", err)
	}
}

// Guards against a grant rate above the limit of the store.
func TestWeights(t *testing.T) {
	clock := kit.NewManualClock(epoch)
	s := start(t, local.Options{Weights: weights.Options{Rate: 0.5, Burst: 1, ModelBytes: 9, Clock: clock}})
	c := client.NewWeightStore(s.Weights.Addr(), client.Options{})
	ctx := context.Background()
	if g, err := c.Reserve(ctx, port.WeightRef{Model: "m"}); err != nil || g.Bytes != 9 {
		t.Fatal(g, err)
	}
	var status *port.StatusError
	if _, err := c.Reserve(ctx, port.WeightRef{Model: "m"}); !errors.As(err, &status) || status.Status != 429 || status.RetryAfter != 2*time.Second {
		t.Fatal(err)
	}
	clock.Advance(2 * time.Second)
	if _, err := c.Reserve(ctx, port.WeightRef{Model: "m"}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a plain request that runs twice when the server closes the connection
// after reading it. The connection comes from the pool, and the request has an
// Idempotency-Key, with which net/http would retry a POST.
func TestPlainRunsAtMostOnce(t *testing.T) {
	s := start(t, local.Options{Plains: 1})
	pool := client.NewPool(client.Options{})
	defer pool.Close()
	c := client.NewPlain(s.Plains[0].Addr(), pool)
	ctx := context.Background()
	for i, body := range []string{"", "body"} {
		for j, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut, http.MethodDelete} {
			req := &port.PlainRequest{Method: method, Path: "/a%2Fb", RawQuery: "q=1", Body: []byte(body), Header: http.Header{
				"Idempotency-Key": {fmt.Sprint(i, j)}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-End": {"1"}, "Te": {"trailers"},
			}}
			resp, err := c.Do(ctx, req) // leaves a pooled connection
			if err != nil || resp.Status != 200 {
				t.Fatal(resp, err)
			}
			before := s.Plains[0].Requests()
			s.Plains[0].SetFaults(plain.Faults{CloseNext: 1})
			if _, err := c.Do(ctx, req); !errors.Is(err, port.ErrOutcomeUnknown) {
				t.Fatalf("%s: connection closed after reading: %v", method, err)
			}
			if n := s.Plains[0].Requests() - before; n != 1 {
				t.Fatalf("%s with body %q was sent %d times", method, body, n)
			}
		}
	}
	if n := s.Plains[0].Counts()["0 0"]; n != 2 {
		t.Fatalf("POST ran %d times for two requests", n)
	}
}

// Guards against faults that are not set by the admin path, against responses on a silent
// connection, and against new connections that do not work beside a silent one.
func TestSilentConnectionsAndAdminPath(t *testing.T) {
	s := start(t, local.Options{Plains: 1})
	addr := s.Plains[0].Addr()
	pool := client.NewPool(client.Options{})
	defer pool.Close()
	get := func(ctx context.Context, p *client.Pool, path string) (*port.PlainResponse, error) {
		return client.NewPlain(addr, p).Do(ctx, &port.PlainRequest{Method: http.MethodGet, Path: path})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if _, err := get(ctx, pool, "/"); err != nil {
		t.Fatal(err)
	}
	s.Plains[0].SilenceConnections()
	before := s.Plains[0].Requests()
	done := make(chan error, 1)
	go func() {
		_, err := get(ctx, pool, "/on-the-silent-connection")
		done <- err
	}()
	for s.Plains[0].Requests() == before {
		runtime.Gosched()
	}
	fresh := client.NewPool(client.Options{})
	defer fresh.Close()
	put := &port.PlainRequest{Method: http.MethodPut, Path: "/admin/faults", Body: []byte(`{"fail_next":1,"latency":"1us"}`)}
	if r, err := client.NewPlain(addr, fresh).Do(ctx, put); err != nil || r.Status != 200 {
		t.Fatalf("new connection: %+v, %v", r, err)
	}
	if f := s.Plains[0].Faults(); f.FailNext != 1 || f.Latency.Std() != time.Microsecond {
		t.Fatalf("faults %+v", f)
	}
	if r, err := get(ctx, fresh, "/"); err != nil || r.Status != 500 {
		t.Fatalf("failing request: %+v, %v", r, err)
	}
	select {
	case err := <-done:
		t.Fatalf("response on the silent connection: %v", err)
	default:
	}
	cancel()
	if err := <-done; !errors.Is(err, port.ErrOutcomeUnknown) || !errors.Is(err, context.Canceled) {
		t.Fatalf("cancelled request: %v", err)
	}
}
