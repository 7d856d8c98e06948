package owner

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/node/ring"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

const (
	// maxQueuedNotices bounds the queued notices, noticeSenders those being sent.
	maxQueuedNotices = 1024
	noticeSenders    = 4
	// noticeTimeout bounds the sending of one notice. A director that misses it
	// learns of the cancellation with its next push.
	noticeTimeout = time.Second
)

// stopNotice asks a director to stop a job.
type stopNotice struct{ director, job string }

// stopNotifier notifies directors of ended jobs. It drops notices when its queue is
// full or a send fails.
type stopNotifier struct {
	peers      peer.Connector
	preference Preference
	queue      *ring.Ring[stopNotice]
}

func newStopNotifier(peers peer.Connector, preference Preference) *stopNotifier {
	return &stopNotifier{peers: peers, preference: preference, queue: ring.New[stopNotice](maxQueuedNotices, noticesDropped)}
}

func (n *stopNotifier) enqueue(director, job string) {
	if n.peers != nil {
		_ = n.queue.Offer(stopNotice{director, job})
	}
}

func (n *stopNotifier) run(ctx context.Context) {
	var senders conc.WaitGroup
	for range noticeSenders {
		senders.Go(func() {
			for {
				notice, err := n.queue.Get(ctx)
				if err != nil {
					return
				}
				n.send(ctx, notice)
			}
		})
	}
	senders.Wait()
}

func (n *stopNotifier) send(ctx context.Context, notice stopNotice) {
	address, ok := n.preference.Address(notice.director)
	if !ok {
		noticesDropped.Add(1)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	conn := n.peers.Conn(ctx, address)
	defer conn.Close()
	if _, err := peerpb.NewDRPCBatchClient(conn).StopJob(ctx, &peerpb.StopJobRequest{JobId: notice.job}); err != nil {
		noticesDropped.Add(1)
	}
}
