package director

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

const (
	// noticeTimeout limits one Preempt call. The counts of a failed call are not
	// sent again.
	noticeTimeout = 500 * time.Millisecond
	// minNoticeInterval is the least time between two calls about one server.
	minNoticeInterval = 5 * time.Millisecond
	// noticeSenders limits the concurrent calls.
	noticeSenders = 16
	// maxQueuedServers limits the servers whose directors are to be notified.
	maxQueuedServers = 1024
)

// preemptNotifier notifies the directors of other servers of online requests that
// arrive and end. Counts for the same server are added up while a call about it is
// in progress.
type preemptNotifier struct {
	director *Director
	queue    chan string

	mu      sync.Mutex
	pending map[string]requestCounts // by server; an entry exists while the server is queued or a call is in progress
}

// requestCounts holds the numbers of online requests that were sent to a server
// and that ended there.
type requestCounts struct{ arrived, ended int }

func newPreemptNotifier(d *Director) *preemptNotifier {
	return &preemptNotifier{director: d, queue: make(chan string, maxQueuedServers), pending: map[string]requestCounts{}}
}

// enqueue adds counts to the next notification of the server's director.
func (n *preemptNotifier) enqueue(server string, delta requestCounts) {
	if n.director.opts.Locator == nil || n.director.opts.Peers == nil || !n.director.mayRunBatch(server) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	previous, queued := n.pending[server]
	n.pending[server] = requestCounts{arrived: previous.arrived + delta.arrived, ended: previous.ended + delta.ended}
	if queued {
		return
	}
	select {
	case n.queue <- server:
	default:
		delete(n.pending, server)
		n.director.metrics.PreemptRejected.Add(1)
	}
}

// mayRunBatch reports whether the server may have batch streams: there is a
// backlog for one of its models, or it has more requests than this instance has
// sent.
func (d *Director) mayRunBatch(server string) bool {
	s := d.pool.Server(server)
	if s == nil {
		return false
	}
	g := s.Group()
	if r, own := g.Load(server); r.Running+r.Waiting > own {
		return true
	}
	for _, m := range g.LoadedNames(server) {
		if len(d.opts.Source.Owners(m)) > 0 {
			return true
		}
	}
	return false
}

func (n *preemptNotifier) run(ctx context.Context) {
	var senders conc.WaitGroup
	defer senders.Wait()
	for range noticeSenders {
		senders.Go(func() {
			for {
				select {
				case server := <-n.queue:
					n.sendPending(ctx, server)
				case <-ctx.Done():
					return
				}
			}
		})
	}
}

// sendPending notifies the server's director until no counts are pending.
func (n *preemptNotifier) sendPending(ctx context.Context, server string) {
	for ctx.Err() == nil {
		n.mu.Lock()
		counts := n.pending[server]
		if counts == (requestCounts{}) {
			delete(n.pending, server)
			n.mu.Unlock()
			return
		}
		n.pending[server] = requestCounts{}
		n.mu.Unlock()
		n.sendNotice(ctx, server, counts)
		timer := time.NewTimer(minNoticeInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// sendNotice reports counts to the server's director with a Preempt call.
func (n *preemptNotifier) sendNotice(ctx context.Context, server string, counts requestCounts) {
	d := n.director
	instance, address, ok := d.opts.Locator.DirectorOf(server)
	if !ok || instance == d.opts.Instance {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	conn := d.opts.Peers.Conn(ctx, address)
	defer conn.Close()
	d.metrics.PreemptMessages.Add(1)
	resp, err := peerpb.NewDRPCBatchClient(conn).Preempt(ctx, &peerpb.PreemptRequest{Server: server,
		Slots: uint32(counts.arrived), Left: uint32(counts.ended), Instance: d.opts.Instance})
	if err != nil {
		d.metrics.PreemptRejected.Add(1)
		return
	}
	d.remoteStreams.set(server, int(resp.Batch))
}

// remoteCountTTL is how long a number of batch streams that another director
// reported is used. It is short because idle capacity changes within seconds.
const remoteCountTTL = 3 * time.Second

// remoteStreamCounts holds the numbers of batch streams on servers that other
// instances direct, as reported in their answers to Preempt calls.
type remoteStreamCounts struct {
	mu     sync.Mutex
	counts map[string]remoteCount
}

type remoteCount struct {
	streams    int
	receivedAt time.Time
}

func (r *remoteStreamCounts) set(server string, streams int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]remoteCount{}
	}
	r.counts[server] = remoteCount{streams, time.Now()}
}

func (r *remoteStreamCounts) get(server string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count, ok := r.counts[server]
	if !ok {
		return 0
	}
	if time.Since(count.receivedAt) > remoteCountTTL {
		delete(r.counts, server)
		return 0
	}
	return count.streams
}
