package follower

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/domain/member"
	"github.com/jacinthnotch/jacinthnotch/node/internal/fakelog"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// fleet connects followers, which share a log, without sockets.
type fleet struct {
	log       *fakelog.Log
	followers map[string]*Follower
	list      []member.Member
}

type conn struct {
	drpc.Conn
	to *Follower
}

func (c conn) Close() error { return nil }

func (c conn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	if c.to == nil {
		return errors.New("no such instance")
	}
	resp, err := c.to.Fetch(ctx, in.(*peerpb.FetchConfigRequest))
	if err == nil {
		proto.Merge(out.(*peerpb.FetchConfigResponse), resp)
	}
	return err
}

// Conn implements peer.Connector.
func (f *fleet) Conn(_ context.Context, address string) drpc.Conn {
	return conn{to: f.followers[address]}
}

func (f *fleet) add(ctx context.Context, name string) *Follower {
	follower := New(Options{Instance: name, Log: f.log, Peers: f, Members: func() []member.Member { return f.list }})
	f.followers[name] = follower
	f.list = append(f.list, member.Member{Info: member.Info{ID: name, Address: name}})
	go follower.Run(ctx)
	return follower
}

func newFleet() *fleet { return &fleet{log: fakelog.New(), followers: map[string]*Follower{}} }

// importSample applies the sample document as one edit.
func importSample(t *testing.T, f *Follower) {
	t.Helper()
	texts, err := config.SplitSections(config.Sample)
	if err != nil {
		t.Fatal(err)
	}
	e := &Edit{Actor: "test"}
	for _, text := range texts {
		e.Changes = append(e.Changes, Change{Section: text.Section, Content: text.Content})
	}
	if r := f.Apply(t.Context(), e); r.State != EditAccepted || r.Revision != 1 {
		t.Fatalf("import: %+v", r)
	}
}

func edit(baseRevision int64, weight string) *Edit {
	return &Edit{Actor: "test", Changes: []Change{{Section: "workspaces.reports", BaseRevision: baseRevision, Content: strings.Replace(
		"[workspaces.reports]\nowner = \"o\"\nteam = \"Reporting\"\nweight = W\nservices = [\"writing\"]\n"+
			"key_hashes = [\"f419a5d2391693cd94732479418a1b59054794a32e82cf25e93f4235ed84914f\"]\n", "W", weight, 1)}}}
}

// Guards against an edit that overwrites a concurrent edit, is applied twice after a lost
// response, or does not reach the other instances.
func TestEdits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet()
		a, b := f.add(ctx, "a"), f.add(ctx, "b")
		time.Sleep(time.Second)
		if ok, reason := a.Ready(); ok || !strings.Contains(reason, "empty") {
			t.Fatalf("an instance without a configuration: ready %v, %q", ok, reason)
		}
		importSample(t, a)
		f.log.LoseNext(1)
		if r := a.Apply(ctx, edit(1, "70")); r.State != EditAccepted || r.Revision != 2 {
			t.Fatalf("edit with a lost response: %+v", r)
		}
		synctest.Wait() // b has read the revision, so that it refuses the edit without an append
		r := b.Apply(ctx, edit(1, "80"))
		if r.State != EditStale || r.Current.Revision != 2 {
			t.Fatalf("edit based on an old revision: %+v", r)
		}
		if r = b.Apply(ctx, edit(2, "-1")); r.State != EditInvalid || r.Problems[0].Line != 4 || r.Problems[0].Key != "weight" {
			t.Fatalf("invalid edit: %+v", r)
		}
		synctest.Wait()
		for _, follower := range []*Follower{a, b} {
			if v := follower.View(); v.Revision != 2 || v.Workspaces["reports"].Weight != 70 || follower.recordCount() != 2 {
				t.Errorf("%s: revision %d, weight %d, %d records", follower.opts.Instance, v.Revision, v.Workspaces["reports"].Weight, follower.recordCount())
			}
		}
		for _, m := range a.MemberRevisions(ctx) {
			if m.Revision != 2 || !m.Reached {
				t.Errorf("member revision %+v", m)
			}
		}
		f.log.SetDown(true)
		if r = a.Apply(ctx, edit(2, "90")); r.State != EditUnavailable {
			t.Errorf("edit while the log is down: %+v", r)
		}
	})
}

// Guards against an edit that takes effect although another one came first, because the
// instance that judges it has not read that one yet. Its record may reach the log, where
// all readers ignore it.
func TestEditsThroughTwoInstancesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet()
		a, b := f.add(ctx, "a"), f.add(ctx, "b")
		time.Sleep(time.Second)
		importSample(t, a)
		synctest.Wait()
		results := make(chan EditResult, 2)
		for follower, weight := range map[*Follower]string{a: "70", b: "80"} {
			go func() { results <- follower.Apply(ctx, edit(1, weight)) }()
		}
		states := map[EditState]int{(<-results).State: 1}
		states[(<-results).State]++
		if states[EditAccepted] != 1 || states[EditStale] != 1 {
			t.Errorf("results of two edits of one revision: %v", states)
		}
		synctest.Wait()
		va, vb := a.View(), b.View()
		if va.Revision != 2 || vb.Revision != 2 || va.Workspaces["reports"].Weight != vb.Workspaces["reports"].Weight {
			t.Errorf("revisions %d and %d, weights %d and %d", va.Revision, vb.Revision, va.Workspaces["reports"].Weight, vb.Workspaces["reports"].Weight)
		}
		if n := a.recordCount(); n > 3 {
			t.Errorf("%d records after an import and two edits", n)
		}
	})
}

func (f *Follower) recordCount() int { return f.opts.Log.(*fakelog.Log).Len(Stream) }

// Guards against an instance that starts while the log is down and becomes ready without
// a configuration, or never becomes ready although its peers have the configuration.
func TestJoinWithLogDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet()
		a, _ := f.add(ctx, "a"), f.add(ctx, "b")
		time.Sleep(time.Second)
		importSample(t, a)
		synctest.Wait()
		f.log.SetDown(true)
		c := f.add(ctx, "c")
		time.Sleep(500 * time.Millisecond)
		if ok, _ := c.Ready(); ok {
			t.Fatal("ready before the log or a peer has answered")
		}
		time.Sleep(3 * time.Second)
		if ok, reason := c.Ready(); !ok || c.View().Revision != 1 {
			t.Fatalf("not ready although two peers hold the configuration: %s", reason)
		}
		isolated := newFleet()
		isolated.log = f.log
		d := isolated.add(ctx, "d")
		time.Sleep(10 * time.Second)
		if ok, _ := d.Ready(); ok || d.View() != nil {
			t.Fatal("ready without the log and without peers")
		}
		f.log.SetDown(false)
		time.Sleep(10 * time.Second)
		if ok, reason := d.Ready(); !ok {
			t.Fatalf("not ready after the log came back: %s", reason)
		}
	})
}

// Guards against an instance that does not fetch a newer revision that a member has
// reported and the log does not deliver.
func TestNewerRevisionIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet()
		a := f.add(ctx, "a")
		time.Sleep(time.Second)
		importSample(t, a)
		separate := newFleet() // with a log of its own, which never gets the edit of a
		separate.followers = f.followers
		b := separate.add(ctx, "b")
		time.Sleep(time.Second)
		importSample(t, b)
		if r := a.Apply(ctx, edit(1, "70")); r.State != EditAccepted {
			t.Fatalf("%+v", r)
		}
		b.NotifyNewerRevision("a", "a", 2)
		time.Sleep(2 * time.Second)
		if b.View().Revision != 2 {
			t.Fatalf("revision %d 2 s after a member reported revision 2", b.View().Revision)
		}
	})
}
