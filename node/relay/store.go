package relay

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/pathselect"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

const (
	// maxPeersPerCall limits the number of peers that are tried for one call.
	maxPeersPerCall = 2
	// peerCallMargin is the part of the timeout of a call through a peer that allows for
	// the connection to the peer and for the peer's own work.
	peerCallMargin = 60 * time.Millisecond
	// probeInterval is the interval of probes of the own path while it is down. The recovery
	// of the store has to be noticed within the 3 s after which it counts as stable.
	probeInterval = 400 * time.Millisecond
	// minProbeTimeout is the least time in which a probe may be answered. It is above the latency of a slow
	// store: when the path counts as down, all calls in flight are made through peers.
	minProbeTimeout = 300 * time.Millisecond
	// turnedAwayAfter is the time without a successful call after which rejections by the rate
	// limit show that the store turns this instance away and may serve others.
	turnedAwayAfter = 500 * time.Millisecond
)

// Peers lists the other instances.
type Peers interface {
	// LivePeers returns the other live instances, with whether they reach the store.
	LivePeers() []pathselect.Peer
}

// Store makes calls to the platform's store on the instance's own path or through a
// peer. It implements port.Store and is safe for concurrent use.
type Store struct {
	ownPath port.Store
	peers   Peers
	conns   peer.Connector
	// probeTopic is the topic that a probe of the own path reads.
	probeTopic string
	// OnRegained, if not nil, is called when the own path is up again, before the reads in flight are
	// made again. It must be set before the first call.
	OnRegained func()

	mu    sync.Mutex
	paths *pathselect.Paths
	// reads are the reads in flight, on the own path and through peers.
	reads pathselect.Reads
	// hedges limits the second attempts at calls that are in flight.
	hedges pathselect.Hedges
	// ownPathLost is closed while the own path is down.
	ownPathLost chan struct{}
	// rejectedSince is the time of the first call on the own path that was rejected by the rate
	// limit since one succeeded; zero if none was.
	rejectedSince time.Time
	// upSince is the time since which no call on the own path has failed.
	upSince time.Time
	// probeRequests receives a value to request a probe of the own path.
	probeRequests chan struct{}

	// counts are the numbers of calls by path and outcome.
	counts expvar.Map
}

// Map returns the counters as one expvar map.
func (s *Store) Map() *expvar.Map { return &s.counts }

var _ port.Store = (*Store)(nil)

// NewStore returns a store whose own path is own. A probe of the own path reads topic,
// which must be a keyed topic.
func NewStore(own port.Store, peers Peers, conns peer.Connector, topic string) *Store {
	return &Store{ownPath: own, peers: peers, conns: conns, probeTopic: topic, paths: pathselect.NewPaths(), upSince: time.Now(), probeRequests: make(chan struct{}, 1), ownPathLost: make(chan struct{})}
}

// OwnPathUp reports whether the instance's own path is up.
func (s *Store) OwnPathUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paths.OwnPathUp()
}

// UpFor returns for how long no call on the own path has failed or lost its response; zero while the
// path is down.
func (s *Store) UpFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.paths.OwnPathUp() {
		return 0
	}
	return time.Since(s.upSince)
}

// Reachability returns how the instance can reach the store, as far as it knows.
func (s *Store) Reachability() pathselect.Reachability {
	peers := s.peers.LivePeers()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paths.Reachability(time.Now(), peers)
}

// CallTimeout returns how long an attempt on the own path and one through a peer may take
// together, without the time for which the store may delay its response.
func (s *Store) CallTimeout() time.Duration { return s.attemptTimeout() + s.peerCallTimeout() }

func (s *Store) attemptTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paths.AttemptTimeout()
}

func (s *Store) peerCallTimeout() time.Duration { return s.attemptTimeout() + peerCallMargin }

// Append implements port.Store.
func (s *Store) Append(ctx context.Context, p port.Partition, records [][]byte) (int64, error) {
	return callWithFallback(ctx, s, 0,
		func(ctx context.Context) (int64, error) { return s.ownPath.Append(ctx, p, records) },
		func(ctx context.Context, c peerpb.DRPCStoreClient) (int64, error) {
			out, err := c.Append(ctx, &peerpb.StoreAppend{Partition: encodePartition(p), Records: records})
			if err != nil {
				return 0, err
			}
			return out.GetFirst(), decodeFailure(out.GetFailure())
		})
}

// AppendAt implements port.Store. If the call takes effect on one path and its response is
// lost, the call on another path finds that the partition ends elsewhere: the caller has to
// read the partition after ErrOffsetMismatch.
func (s *Store) AppendAt(ctx context.Context, p port.Partition, offset int64, records [][]byte) error {
	_, err := callWithFallback(ctx, s, 0,
		func(ctx context.Context) (struct{}, error) {
			return struct{}{}, s.ownPath.AppendAt(ctx, p, offset, records)
		},
		func(ctx context.Context, c peerpb.DRPCStoreClient) (struct{}, error) {
			out, err := c.AppendAt(ctx, &peerpb.StoreAppendAt{Partition: encodePartition(p), Records: records, Offset: offset})
			if err != nil {
				return struct{}{}, err
			}
			return struct{}{}, decodeFailure(out.GetFailure())
		})
	return err
}

// Read implements port.Store.
func (s *Store) Read(ctx context.Context, p port.Partition, from int64, maxBytes int, wait time.Duration) (port.Page, error) {
	return readAgainIfLost(ctx, s, wait, func(ctx context.Context, wait time.Duration) (port.Page, error) {
		return s.read(ctx, p, from, maxBytes, wait)
	})
}

// read makes one attempt of Read.
func (s *Store) read(ctx context.Context, p port.Partition, from int64, maxBytes int, wait time.Duration) (port.Page, error) {
	return callWithFallback(ctx, s, wait,
		func(ctx context.Context) (port.Page, error) { return s.ownPath.Read(ctx, p, from, maxBytes, wait) },
		func(ctx context.Context, c peerpb.DRPCStoreClient) (port.Page, error) {
			out, err := c.Read(ctx, &peerpb.StoreRead{
				Partition: encodePartition(p), From: from, MaxBytes: int64(maxBytes), WaitMs: wait.Milliseconds(),
			})
			if err != nil {
				return port.Page{}, err
			}
			return decodePage(out, from), decodeFailure(out.GetFailure())
		})
}

// Newest implements port.Store.
func (s *Store) Newest(ctx context.Context, topic, after string) (port.NewestPage, error) {
	return readAgainIfLost(ctx, s, 0, func(ctx context.Context, _ time.Duration) (port.NewestPage, error) {
		return s.newest(ctx, topic, after)
	})
}

// newest makes one attempt of Newest.
func (s *Store) newest(ctx context.Context, topic, after string) (port.NewestPage, error) {
	return callWithFallback(ctx, s, 0,
		func(ctx context.Context) (port.NewestPage, error) { return s.ownPath.Newest(ctx, topic, after) },
		func(ctx context.Context, c peerpb.DRPCStoreClient) (port.NewestPage, error) {
			out, err := c.Newest(ctx, &peerpb.StoreNewest{Topic: topic, After: after})
			if err != nil {
				return port.NewestPage{}, err
			}
			return decodeNewest(out), decodeFailure(out.GetFailure())
		})
}

// errResponseLost is the cause of the end of a read whose response cannot arrive any more.
var errResponseLost = errors.New("relay: the response to a read is lost")

// readAgainIfLost makes a read, and makes it once more if its response is lost since the store was
// silent. The store may delay the first response by up to wait; the second one is asked for at once,
// as there may be changes since the outage. It is not given up again: a large response on a busy
// store takes longer than those to other calls, and would never arrive.
func readAgainIfLost[T any](ctx context.Context, s *Store, wait time.Duration, read func(context.Context, time.Duration) (T, error)) (T, error) {
	attemptCtx, end := s.beginRead(ctx, wait)
	value, err := read(attemptCtx, wait)
	lost := err != nil && ctx.Err() == nil && errors.Is(context.Cause(attemptCtx), errResponseLost)
	end()
	if lost {
		return read(ctx, 0)
	}
	return value, err
}

// beginRead registers a read that is sent now. Its context ends with the cause errResponseLost
// if the response is found to be lost, and by end.
func (s *Store) beginRead(ctx context.Context, wait time.Duration) (attemptCtx context.Context, end func()) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	now := time.Now()
	r := &pathselect.Read{SentAt: now, Abandon: func() { cancel(errResponseLost) }}
	s.mu.Lock()
	r.DueAt = now.Add(wait + s.paths.AttemptTimeout())
	s.reads.Begin(r)
	s.mu.Unlock()
	return attemptCtx, func() {
		s.mu.Lock()
		s.reads.End(r)
		s.mu.Unlock()
		cancel(nil)
	}
}

// result is the outcome of a call on the own path.
type result[T any] struct {
	value T
	err   error
}

// callWithFallback makes a call on the own path and, if that fails or is slow, through
// peers. The store may delay its response by up to wait. If the store responds on no path,
// the error is ErrOutcomeUnknown if the call may have taken effect on any of them.
func callWithFallback[T any](
	ctx context.Context, s *Store, wait time.Duration,
	own func(context.Context) (T, error), viaPeer func(context.Context, peerpb.DRPCStoreClient) (T, error),
) (T, error) {
	if !s.OwnPathUp() {
		value, peerErr := callPeers(ctx, s, wait, viaPeer)
		if answered(peerErr) {
			return value, peerErr
		}
		// No peer could make the call; the own path may be up again.
		value, err := callOwnPath(ctx, s, wait, own)
		return value, combineErrors(err, peerErr)
	}
	done := make(chan result[T], 1)
	go func() {
		value, err := callOwnPath(ctx, s, wait, own)
		done <- result[T]{value, err}
	}()
	if r, ended := awaitOwnPath(s, wait, done); ended {
		if answered(r.err) || ctx.Err() != nil || s.isBackpressure(r.err) {
			return r.value, r.err
		}
		value, peerErr := callPeers(ctx, s, wait, viaPeer)
		return value, combineErrors(peerErr, r.err)
	}
	value, peerErr := callPeers(ctx, s, wait, viaPeer)
	if answered(peerErr) {
		return value, peerErr
	}
	// No peer could make the call; the own path may only be slow. Its call ends with ctx or
	// the client's own timeout.
	r := <-done
	return r.value, combineErrors(r.err, peerErr)
}

// awaitOwnPath waits for the outcome of a call on the own path. It returns false if the call is to be made
// through a peer meanwhile.
func awaitOwnPath[T any](s *Store, wait time.Duration, done <-chan result[T]) (r result[T], ended bool) {
	timer := time.NewTimer(wait + s.attemptTimeout())
	defer timer.Stop()
	select {
	case r = <-done:
		return r, true
	case <-timer.C:
	}
	// The probe shows whether the path is down or the store only slow.
	s.requestProbe()
	pathLost, allowed := s.beginHedge()
	if allowed {
		return r, false
	}
	select {
	case r = <-done:
		return r, true
	case <-pathLost:
		return r, false
	}
}

// beginHedge reports whether a call that is overdue on the own path may be made through a peer at once.
// Otherwise it may be once pathLost is closed.
func (s *Store) beginHedge() (pathLost <-chan struct{}, allowed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed = s.hedges.Allow()
	if !allowed {
		s.counts.Add("hedges_withheld", 1)
	}
	return s.ownPathLost, allowed
}

// combineErrors combines the errors of a call on two paths. If the store responded on the
// last one, only that result counts.
func combineErrors(last, earlier error) error {
	if answered(last) {
		return last
	}
	return lessCertain(last, earlier)
}

// answered reports whether err is a response of the store: success, or the statement that
// records have expired or that a condition does not hold.
func answered(err error) bool {
	var expired *port.ExpiredError
	return err == nil || errors.Is(err, port.ErrOffsetMismatch) || errors.As(err, &expired)
}

// lessCertain returns b if only b is ErrOutcomeUnknown, and a otherwise: a call that may
// have taken effect on one path may have taken effect.
func lessCertain(a, b error) error {
	if errors.Is(a, port.ErrOutcomeUnknown) || !errors.Is(b, port.ErrOutcomeUnknown) {
		return a
	}
	return b
}

// callOwnPath makes a call on the own path and records its outcome.
func callOwnPath[T any](ctx context.Context, s *Store, wait time.Duration, own func(context.Context) (T, error)) (T, error) {
	start := time.Now()
	value, err := own(ctx)
	s.counts.Add("own", 1)
	switch {
	case answered(err):
		latency := time.Since(start)
		if wait > 0 {
			latency = 0 // the duration includes the time for which the store waited for records
		}
		s.recordSuccess(start, latency)
	case s.recordRejection(err):
		s.counts.Add("rate_limited", 1)
	case ctx.Err() == nil:
		s.counts.Add("own_failed", 1)
		s.mu.Lock()
		s.upSince = time.Now()
		s.mu.Unlock()
		s.requestProbe()
	}
	return value, err
}

// recordRejection records the error of a call on the own path and reports whether it is
// backpressure: a rejection by the rate limit of a store that serves other calls.
func (s *Store) recordRejection(err error) bool {
	if !port.IsRateLimited(err) {
		return false
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejectedSince.IsZero() {
		s.rejectedSince = now
	}
	return now.Sub(s.rejectedSince) < turnedAwayAfter
}

// isBackpressure reports whether a call failed because all instances together make too many. Calls
// through peers would be rejected as well, and add to their number.
func (s *Store) isBackpressure(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return port.IsRateLimited(err) && time.Since(s.rejectedSince) < turnedAwayAfter
}

// recordSuccess records the response to a call that was sent on the own path at a time, and ends
// the reads whose responses are lost.
func (s *Store) recordSuccess(sentAt time.Time, latency time.Duration) {
	s.mu.Lock()
	s.rejectedSince = time.Time{}
	regained := s.paths.RecordSuccess(latency)
	if regained {
		s.ownPathLost = make(chan struct{})
	}
	s.hedges.RecordAnswer()
	var lost []*pathselect.Read
	if regained || s.reads.Overdue(sentAt) && s.hedges.Allow() {
		lost = s.reads.TakeLost(sentAt, regained)
	}
	if regained || len(lost) > 0 {
		s.upSince = time.Now()
	}
	s.mu.Unlock()
	if regained {
		klog.InfoS("dependency regained", "dependency", "store", "path", "own", "lostReads", len(lost))
		if s.OnRegained != nil {
			s.OnRegained()
		}
	}
	s.counts.Add("reads_lost", int64(len(lost)))
	for _, r := range lost {
		r.Abandon()
	}
}

func (s *Store) recordFailure(cause error) {
	s.mu.Lock()
	lost := s.paths.RecordFailure()
	if lost {
		close(s.ownPathLost)
	}
	s.mu.Unlock()
	if lost {
		klog.InfoS("dependency lost", "dependency", "store", "path", "own", "cause", cause)
	}
}

// requestProbe requests a probe of the own path after a call that failed there. The failure
// alone does not show that the path is down, since it may concern one partition only.
func (s *Store) requestProbe() {
	select {
	case s.probeRequests <- struct{}{}:
	default:
	}
}

// errNoPeer is the error of a call for which there is no peer to try.
var errNoPeer = fmt.Errorf("%w: no peer reaches the store", port.ErrUnavailable)

// callPeers makes a call through peers, one after the other, until the store responds.
func callPeers[T any](
	ctx context.Context, s *Store, wait time.Duration, viaPeer func(context.Context, peerpb.DRPCStoreClient) (T, error),
) (value T, err error) {
	err = errNoPeer
	for _, p := range s.choosePeers() {
		if ctx.Err() != nil {
			break
		}
		var peerErr error
		value, peerErr = callPeer(ctx, s, p, wait, viaPeer)
		s.counts.Add("through_peer", 1)
		if answered(peerErr) {
			return value, peerErr
		}
		klog.InfoS("call to the store through a peer failed", "peer", p.Name, "err", peerErr)
		s.counts.Add("through_peer_failed", 1)
		if isPeerFailure(peerErr) {
			s.mu.Lock()
			s.paths.RecordPeerFailure(time.Now(), p.Name)
			s.mu.Unlock()
		}
		if !errors.Is(peerErr, port.ErrUnavailable) {
			peerErr = fmt.Errorf("%w: %w", port.ErrOutcomeUnknown, peerErr)
		}
		err = lessCertain(peerErr, err)
	}
	return value, err
}

// isPeerFailure reports whether a relayed call failed because of the peer, rather than
// because of the store.
func isPeerFailure(err error) bool {
	isStoreError := errors.Is(err, port.ErrUnavailable) || errors.Is(err, port.ErrOutcomeUnknown)
	return !isStoreError || errors.Is(err, errNoPath)
}

// choosePeers returns the peers to try for one call, in the order in which to try them.
func (s *Store) choosePeers() []pathselect.Peer {
	peers := s.peers.LivePeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.paths.RankPeers(time.Now(), peers)
	return list[:min(maxPeersPerCall, len(list))]
}

// callPeer makes a call through one peer.
func callPeer[T any](
	ctx context.Context, s *Store, p pathselect.Peer, wait time.Duration, viaPeer func(context.Context, peerpb.DRPCStoreClient) (T, error),
) (T, error) {
	timeout := s.peerCallTimeout()
	callCtx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	conn := s.conns.Conn(callCtx, p.Address)
	defer conn.Close() // returns the connection to its pool
	value, err := viaPeer(callCtx, peerpb.NewDRPCStoreClient(conn))
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		s.recordTimeout(timeout)
	}
	return value, err
}

// recordTimeout records a call that was given up after a time, without the wait that it asked for.
func (s *Store) recordTimeout(after time.Duration) {
	s.mu.Lock()
	s.paths.RecordTimeout(after)
	s.mu.Unlock()
}

// RunProbes probes the own path when a call has failed there, and then repeatedly until it
// is up. It returns when ctx is done.
func (s *Store) RunProbes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.probeRequests:
		}
		for s.probe(ctx); ctx.Err() == nil && !s.OwnPathUp(); s.probe(ctx) {
			clock.Sleep(ctx, probeInterval)
		}
	}
}

// probe reads an empty page on the own path and records the outcome.
func (s *Store) probe(ctx context.Context) {
	probeCtx, cancel := context.WithTimeout(ctx, max(minProbeTimeout, s.attemptTimeout()))
	defer cancel()
	start := time.Now()
	_, err := s.ownPath.Newest(probeCtx, s.probeTopic, afterAllKeys)
	switch {
	case err == nil:
		s.recordSuccess(start, time.Since(start))
	case ctx.Err() == nil:
		s.recordFailure(err)
	}
}

// afterAllKeys sorts after the keys of all instances, so that a probe returns an empty page.
const afterAllKeys = "~"
