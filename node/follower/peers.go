package follower

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc/iter"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/member"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

const (
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = time.Second
	// joinPeers is the number of peers that a new instance asks for the newest
	// document while the log is down. Heads travel with every message between
	// members, so that a few hold the newest.
	joinPeers = 16
	// fetchers bounds the peers that are asked at once.
	fetchers = 16
)

// Fetch implements the service Config.
func (f *Follower) Fetch(ctx context.Context, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	var out *peerpb.FetchConfigResponse
	err := f.ask(ctx, func(time.Time) {
		// Before the end of the stream was read, the document may be an old one.
		if out = (&peerpb.FetchConfigResponse{}); f.ready.Load() {
			out = f.history.FetchResponse(in.AfterRevision)
		}
	})
	if err != nil {
		return nil, err // the duty may still write out
	}
	return out, nil
}

// NotifyNewerRevision tells that a member holds a newer revision. It does not wait.
func (f *Follower) NotifyNewerRevision(instance, address string, revision int64) {
	_ = f.events.Offer(func(now time.Time) {
		if revision > f.ahead.revision {
			f.ahead = ahead{instance: instance, address: address, revision: revision, since: now}
		} else if revision == f.ahead.revision {
			f.ahead.instance, f.ahead.address = instance, address
		}
	})
}

func (f *Follower) fetch(ctx context.Context, address string, after int64) (*peerpb.FetchConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	conn := f.opts.Peers.Conn(ctx, address)
	defer conn.Close()
	return peerpb.NewDRPCConfigClient(conn).Fetch(ctx, &peerpb.FetchConfigRequest{AfterRevision: after})
}

// fetchFrom takes what one member holds after a revision.
func (f *Follower) fetchFrom(ctx context.Context, address string, after int64) {
	resp, err := f.fetch(ctx, address, after)
	_ = f.events.Put(ctx, func(now time.Time) {
		f.fetching = false
		// Asked again after the grace, of whichever member is ahead then.
		f.ahead.since = now
		if err != nil {
			fetchFailures.Add(1)
			return
		}
		f.merge(resp)
	})
}

// join takes the newest document that the peers hold, while the log is down.
// A majority of those asked has to answer.
func (f *Follower) join(ctx context.Context) {
	var others []member.Member
	for _, m := range f.opts.Members() {
		if m.ID != f.opts.Instance {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), joinPeers)]
	answers := f.askEach(ctx, others, 0)
	_ = f.events.Put(ctx, func(time.Time) {
		f.fetching = false
		if f.ready.Load() {
			return
		}
		got := 0
		for _, a := range answers {
			if a != nil && a.Revision > 0 {
				got++
			}
		}
		if 2*got <= len(others) {
			f.setReason("the log does not answer and no majority of the peers holds a configuration")
			return
		}
		slices.SortFunc(answers, func(a, b *peerpb.FetchConfigResponse) int { return cmp.Compare(b.GetRevision(), a.GetRevision()) })
		f.merge(answers[0])
	})
}

// askEach fetches from several members at once; the answer of one that failed
// is nil.
func (f *Follower) askEach(ctx context.Context, members []member.Member, after int64) []*peerpb.FetchConfigResponse {
	mapper := iter.Mapper[member.Member, *peerpb.FetchConfigResponse]{MaxGoroutines: fetchers}
	return mapper.Map(members, func(m *member.Member) *peerpb.FetchConfigResponse {
		resp, err := f.fetch(ctx, m.Address, after)
		if err != nil {
			fetchFailures.Add(1)
			return nil
		}
		return resp
	})
}

func (f *Follower) merge(resp *peerpb.FetchConfigResponse) {
	changed, err := f.history.Merge(resp)
	if err != nil {
		mergeFailures.Add(1)
		klog.InfoS("Configuration of a peer refused", "instance", f.opts.Instance, "revision", resp.Revision, "err", err)
		return
	}
	if !changed {
		return
	}
	merges.Add(1)
	klog.InfoS("Configuration taken from a peer", "instance", f.opts.Instance, "revision", resp.Revision)
	f.publish()
}

// MemberRevision is what one member holds.
type MemberRevision struct {
	Instance string `json:"instance"`
	Revision int64  `json:"revision"`
	// Reached is false when the member did not answer.
	Reached bool `json:"reached"`
}

// MemberRevisions asks every live member which revision it holds.
func (f *Follower) MemberRevisions(ctx context.Context) []MemberRevision {
	members := f.opts.Members()
	out := make([]MemberRevision, len(members))
	for i, a := range f.askEach(ctx, members, math.MaxInt64) {
		out[i] = MemberRevision{Instance: members[i].ID, Revision: a.GetRevision(), Reached: a != nil}
	}
	return out
}
