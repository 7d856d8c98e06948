package director

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/stream"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// maxPushDelay, maxPushItems and maxPushBytes limit the age and the size of a
	// batch of results.
	maxPushDelay = 50 * time.Millisecond
	maxPushItems = 64
	maxPushBytes = 1 << 20
	// pushTimeout limits one push. The owner answers when the log has the results.
	pushTimeout = 5 * time.Second
	// maxConcurrentPushes limits the pushes in progress.
	maxConcurrentPushes = 32
	// leaseRenewInterval is well below the lease duration, 30 s by default
	// (item_lease_ms), so that a few lost renewals do not end a lease.
	leaseRenewInterval = 5 * time.Second
	// maxBufferedBytes limits the results that wait to be pushed. Above it no item
	// is pulled.
	maxBufferedBytes = 32 << 20
)

// jobBuffer holds the leases and the unpushed results of one job.
type jobBuffer struct {
	owner       Owner
	results     []*recordpb.ItemResult
	returned    []*peerpb.ItemReturn
	resultBytes int
	oldestAt    time.Time // when the oldest result or returned item was added
	leased      map[uint32]bool
	renewedAt   time.Time
	pushing     bool
	failures    int
	retryAt     time.Time
}

// pusher buffers results and returned items by job, pushes them to the owners in
// batches and renews leases.
type pusher struct {
	director *Director
	wake     chan struct{}

	mu            sync.Mutex
	jobs          map[string]*jobBuffer
	bufferedBytes int
	activePushes  int
}

func newPusher(d *Director) *pusher {
	return &pusher{director: d, wake: make(chan struct{}, 1), jobs: map[string]*jobBuffer{}}
}

// trackLease starts to renew the lease of an item.
func (p *pusher) trackLease(it *item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.bufferFor(it)
	j.owner = it.owner
	j.leased[it.Index] = true
}

// bufferFor returns the buffer of an item's job and creates it if necessary. The
// caller holds p.mu.
func (p *pusher) bufferFor(it *item) *jobBuffer {
	j := p.jobs[it.JobId]
	if j == nil {
		j = &jobBuffer{owner: it.owner, leased: map[uint32]bool{}, renewedAt: time.Now()}
		p.jobs[it.JobId] = j
	}
	return j
}

// dropLease stops renewing the lease of an item of which no result is expected.
func (p *pusher) dropLease(it *item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j := p.jobs[it.JobId]; j != nil {
		delete(j.leased, it.Index)
	}
}

func (p *pusher) addResult(it *item, r *recordpb.ItemResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.bufferFor(it)
	p.markOldest(j)
	delete(j.leased, it.Index)
	j.results = append(j.results, r)
	j.resultBytes += len(r.Body)
	p.bufferedBytes += len(r.Body)
	if len(j.results) >= maxPushItems || j.resultBytes >= maxPushBytes {
		p.wakeUp()
	}
}

func (p *pusher) addReturn(it *item, r *peerpb.ItemReturn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.bufferFor(it)
	p.markOldest(j)
	delete(j.leased, it.Index)
	j.returned = append(j.returned, r)
}

// returnItems returns queued items to their owners; their tokens are lost.
func (p *pusher) returnItems(items []*item) {
	for _, it := range items {
		n := it.builder.Tokens()
		p.director.metrics.WastedTokens.Add(int64(n))
		// An item that was partly run is not marked as not run, but as preempted, so
		// that it does not count as a failed attempt.
		p.addReturn(it, &peerpb.ItemReturn{Index: it.Index, NotRun: n == 0 && !it.prefilled && it.stalledAttempts == 0, Preempted: true})
	}
}

// markOldest sets the age of a buffer before the first result or returned item is
// added to it.
func (p *pusher) markOldest(j *jobBuffer) {
	if len(j.results)+len(j.returned) == 0 {
		j.oldestAt = time.Now()
	}
}

func (p *pusher) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// dropJob discards the buffer of a cancelled job, whose results are void.
func (p *pusher) dropJob(job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j := p.jobs[job]; j != nil && !j.pushing {
		p.bufferedBytes -= j.resultBytes
		delete(p.jobs, job)
	}
}

func (p *pusher) isFull() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bufferedBytes >= maxBufferedBytes
}

// isEmpty reports whether all results and returned items have been pushed.
func (p *pusher) isEmpty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range p.jobs {
		if len(j.results)+len(j.returned) > 0 || j.pushing {
			return false
		}
	}
	return true
}

func (p *pusher) run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(maxPushDelay / 2)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-p.wake:
		case <-ctx.Done():
			return
		}
		for {
			job, j, req := p.nextBatch()
			if req == nil {
				break
			}
			wg.Go(func() { p.push(ctx, job, j, req) })
		}
	}
}

// nextBatch returns the next push that is due, or a nil request.
func (p *pusher) nextBatch() (string, *jobBuffer, *peerpb.PushResultsRequest) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.activePushes >= maxConcurrentPushes {
		return "", nil, nil
	}
	for job, j := range p.jobs {
		n := len(j.results) + len(j.returned)
		if n == 0 && len(j.leased) == 0 && !j.pushing {
			delete(p.jobs, job)
			continue
		}
		due := n > 0 && (now.Sub(j.oldestAt) >= maxPushDelay || len(j.results) >= maxPushItems || j.resultBytes >= maxPushBytes) ||
			len(j.leased) > 0 && now.Sub(j.renewedAt) >= leaseRenewInterval
		if j.pushing || !due || now.Before(j.retryAt) {
			continue
		}
		j.pushing, j.renewedAt = true, now
		p.activePushes++
		req := &peerpb.PushResultsRequest{Director: p.director.opts.Instance, JobId: job, Returned: j.returned, WaitMs: pushTimeout.Milliseconds() / 2}
		size := 0
		for _, r := range j.results {
			if len(req.Results) > 0 && (len(req.Results) >= maxPushItems || size+len(r.Body) > maxPushBytes) {
				break
			}
			req.Results = append(req.Results, r)
			size += len(r.Body)
		}
		for i := range j.leased {
			req.Renew = append(req.Renew, i)
		}
		return job, j, req
	}
	return "", nil, nil
}

// push sends one batch to the owner. After a failure the batch stays in the buffer
// and is sent again, which is safe because the owner keeps the first result of an
// item.
func (p *pusher) push(ctx context.Context, job string, j *jobBuffer, req *peerpb.PushResultsRequest) {
	p.mu.Lock()
	to := j.owner
	p.mu.Unlock()
	pushCtx, cancel := context.WithTimeout(ctx, pushTimeout)
	resp, owner, err := p.director.opts.Source.Push(pushCtx, to, req)
	cancel()
	p.mu.Lock()
	p.activePushes--
	j.pushing = false
	if err != nil {
		p.director.metrics.BatchPushFailures.Add(1)
		if j.failures++; j.failures == 1 {
			klog.InfoS("pushing results failed, retrying", "job", job, "owner", to.Instance, "err", err)
		}
		j.retryAt = time.Now().Add(stream.Backoff(j.failures))
		p.mu.Unlock()
		return
	}
	j.failures, j.owner = 0, owner
	size := 0
	for _, r := range req.Results {
		size += len(r.Body)
	}
	j.results, j.returned = j.results[len(req.Results):], j.returned[len(req.Returned):]
	j.resultBytes -= size
	p.bufferedBytes -= size
	j.oldestAt = time.Now()
	hasMore := len(j.results)+len(j.returned) > 0
	p.mu.Unlock()
	if resp.Cancelled {
		p.director.StopJob(job)
	} else if len(resp.Stop) > 0 {
		p.director.cancelItems(job, resp.Stop)
	}
	if hasMore {
		p.wakeUp()
	}
}
