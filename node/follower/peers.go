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
	// fetchTimeout limits one fetch from a peer.
	fetchTimeout = time.Second
	// maxJoinPeers limits the peers from which a new instance fetches the newest document
	// while the log is down. Every message between members carries the sender's
	// revision, so that a few peers are enough to find the newest one.
	maxJoinPeers = 16
	// maxConcurrentFetches limits the concurrent fetches of one operation.
	maxConcurrentFetches = 16
)

// Fetch implements the service Config.
func (f *Follower) Fetch(ctx context.Context, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	var out *peerpb.FetchConfigResponse
	err := f.do(ctx, func(time.Time) {
		// An instance that is not ready may have an old document.
		if out = (&peerpb.FetchConfigResponse{}); f.ready.Load() {
			out = f.replica.FetchResponse(in.AfterRevision)
		}
	})
	if err != nil {
		return nil, err // the event loop may still write to out
	}
	return out, nil
}

// NotifyNewerRevision reports that a member has a newer revision. It does not wait for the
// event loop.
func (f *Follower) NotifyNewerRevision(instance, address string, revision int64) {
	_ = f.events.Offer(func(now time.Time) {
		if revision > f.newestSeen.revision {
			f.newestSeen = newestSeen{instance: instance, address: address, revision: revision, since: now}
		} else if revision == f.newestSeen.revision {
			f.newestSeen.instance, f.newestSeen.address = instance, address
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

// fetchFrom fetches the sections with a later revision than after from one member and
// merges them.
func (f *Follower) fetchFrom(ctx context.Context, address string, after int64) {
	resp, err := f.fetch(ctx, address, after)
	_ = f.events.Put(ctx, func(now time.Time) {
		f.fetching = false
		// If the revision is still missing after peerFetchDelay, it is fetched again from
		// the member that reported it last.
		f.newestSeen.since = now
		if err != nil {
			fetchFailures.Add(1)
			return
		}
		f.merge(resp)
	})
}

// join fetches the newest document of the peers while it cannot be read from the log. It
// requires that a majority of the asked peers answers with a document.
func (f *Follower) join(ctx context.Context) {
	var others []member.Member
	for _, m := range f.opts.Members() {
		if m.ID != f.opts.Instance {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), maxJoinPeers)]
	answers := f.fetchFromEach(ctx, others, 0)
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

// fetchFromEach fetches from several members concurrently. The response of a member whose
// fetch failed is nil.
func (f *Follower) fetchFromEach(ctx context.Context, members []member.Member, after int64) []*peerpb.FetchConfigResponse {
	mapper := iter.Mapper[member.Member, *peerpb.FetchConfigResponse]{MaxGoroutines: maxConcurrentFetches}
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
	changed, err := f.replica.Merge(resp)
	if err != nil {
		mergeFailures.Add(1)
		klog.InfoS("configuration from peer refused", "instance", f.opts.Instance, "revision", resp.Revision, "err", err)
		return
	}
	if !changed {
		return
	}
	merges.Add(1)
	klog.InfoS("configuration updated from peer", "instance", f.opts.Instance, "revision", resp.Revision)
	f.publish()
}

// MemberRevision is the configuration revision of one member.
type MemberRevision struct {
	Instance string `json:"instance"`
	Revision int64  `json:"revision"`
	// Reached is false if the member did not answer.
	Reached bool `json:"reached"`
}

// MemberRevisions asks every live member for its revision.
func (f *Follower) MemberRevisions(ctx context.Context) []MemberRevision {
	members := f.opts.Members()
	out := make([]MemberRevision, len(members))
	for i, a := range f.fetchFromEach(ctx, members, math.MaxInt64) {
		out[i] = MemberRevision{Instance: members[i].ID, Revision: a.GetRevision(), Reached: a != nil}
	}
	return out
}
