package peers

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/origin"
	"github.com/jacinthnotch/jacinthnotch/node/internal/guard"
)

const (
	// originAnswerTimeout limits the time for which a hub looks for an origin, and
	// maxOriginAnswers the number of questions that it works on at once.
	originAnswerTimeout = 150 * time.Millisecond
	maxOriginAnswers    = 256
)

// Origins knows where streams began.
type Origins interface {
	// ReceiveOrigins adds the records of another instance.
	ReceiveOrigins(records []byte) error
	// ResolveHere returns where a stream began, without asking another instance.
	ResolveHere(ctx context.Context, service string, stream uint64) (origin.Origin, origin.Status)
}

// originQuestions holds the questions about origins that have no reply yet.
type originQuestions struct {
	mu       sync.Mutex
	sequence uint64
	pending  map[uint64]chan *originReply
	// answering limits the questions of other instances that are worked on.
	answering chan struct{}
}

func newOriginQuestions() originQuestions {
	return originQuestions{sequence: firstSequence(time.Now()), pending: map[uint64]chan *originReply{}, answering: make(chan struct{}, maxOriginAnswers)}
}

// ActsAsFirstHub reports whether this instance is the hub that all instances ask, or has to
// act as one because it reaches none.
func (g *Group) ActsAsFirstHub() bool {
	hub, _, _ := g.currentHub()
	return hub == nil
}

// HubSince returns since when other instances report to this one without a pause; zero if they
// do not.
func (g *Group) HubSince() time.Time {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordPause(now)
	if !g.hub.active {
		return time.Time{}
	}
	return g.hub.since
}

// recordPause records that this instance stood still, as when its host was suspended: as a hub it
// begins anew, because reports to it may have been lost. The lock must be held.
func (g *Group) recordPause(now time.Time) {
	if !g.livenessCheckedAt.IsZero() && now.Sub(g.livenessCheckedAt) > maxPause {
		g.quota.resumedAt = now
	}
	if g.hub.active && !g.livenessCheckedAt.IsZero() && now.Sub(g.livenessCheckedAt) > maxPause {
		g.hub.since = now
	}
}

// SendOrigins sends records of origins to the hubs.
func (g *Group) SendOrigins(records []byte) {
	g.sendToHubs(kindOrigins, &originReport{Name: g.opt.Name, Records: records})
}

// askedHubAddress returns the address of the hub that is asked for servers.
func (g *Group) askedHubAddress() (netip.AddrPort, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	hub, _ := g.askedHub(time.Now())
	if hub == nil || !hub.addrPort.IsValid() {
		return netip.AddrPort{}, false
	}
	return hub.addrPort, true
}

// AskOrigin asks the hub where a stream began. It returns false without a reply.
func (g *Group) AskOrigin(ctx context.Context, service string, stream uint64) (origin.Origin, origin.Status, bool) {
	to, ok := g.askedHubAddress()
	if !ok {
		return origin.Origin{}, origin.Unknown, false
	}
	q, replies := &g.origins, make(chan *originReply, 1)
	q.mu.Lock()
	q.sequence++
	sequence := q.sequence
	q.pending[sequence] = replies
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		delete(q.pending, sequence)
		q.mu.Unlock()
	}()
	g.send(kindOriginQuestion, &originQuestion{Name: g.opt.Name, Sequence: sequence, Service: service, Stream: stream}, to)
	select {
	case r := <-replies:
		return origin.Origin{Service: r.Service, Version: r.Version, Server: r.Server}, r.Status, true
	case <-ctx.Done():
		return origin.Origin{}, origin.Unknown, false
	}
}

// onOrigins passes on a peer's records of origins.
func (g *Group) onOrigins(report *originReport, _ netip.AddrPort) {
	if g.opt.Origins == nil {
		return
	}
	if err := g.opt.Origins.ReceiveOrigins(report.Records); err != nil {
		klog.InfoS("records of origins ignored", "peer", report.Name, "err", err)
	}
}

// onOriginQuestion answers a question of a peer, which may take a read of the store.
func (g *Group) onOriginQuestion(question *originQuestion, from netip.AddrPort) {
	if g.opt.Origins == nil {
		return
	}
	select {
	case g.origins.answering <- struct{}{}:
	default:
		return // the peer reads the store itself
	}
	go func() {
		defer func() { <-g.origins.answering }()
		guard.Run("question about an origin", func() {
			ctx, cancel := context.WithTimeout(context.Background(), originAnswerTimeout)
			defer cancel()
			o, status := g.opt.Origins.ResolveHere(ctx, question.Service, question.Stream)
			g.send(kindOriginReply, &originReply{Sequence: question.Sequence, Status: status, Service: o.Service, Version: o.Version, Server: o.Server}, from)
		})
	}()
}

// onOriginReply passes a reply to the question that waits for it.
func (g *Group) onOriginReply(reply *originReply, _ netip.AddrPort) {
	g.origins.mu.Lock()
	replies := g.origins.pending[reply.Sequence]
	g.origins.mu.Unlock()
	if replies == nil {
		return // the question has timed out
	}
	select {
	case replies <- reply:
	default: // a duplicate datagram
	}
}
