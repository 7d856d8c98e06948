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
	"github.com/jacinthnotch/jacinthnotch/policy/reach"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

const (
	// peersMost bounds the peers that are asked for one call.
	peersMost = 2
	// peerMargin is added to the patience for a call through a peer: connecting to it
	// and its own work.
	peerMargin = 60 * time.Millisecond
	// probeInterval is the time between tries of the own path while it fails. The store
	// counts as back within its stable window of 3 s.
	probeInterval = 400 * time.Millisecond
)

// Peers tells which other instances reach the store.
type Peers interface {
	// LivePeers returns the other instances that are heard.
	LivePeers() []reach.Peer
}

// Store makes calls to the platform's store on the instance's own path or through a
// peer. It implements port.Store and is safe for concurrent use.
type Store struct {
	own   port.Store
	peers Peers
	conns peer.Conns
	// probeTopic is the topic whose newest records are asked for to try the own path.
	probeTopic string

	mu    sync.Mutex
	table *reach.Paths
	// doubted asks for a look at the own path.
	doubted chan struct{}

	// counts holds the calls by path and outcome.
	counts expvar.Map
}

// Map returns the counters as one expvar map.
func (s *Store) Map() *expvar.Map { return &s.counts }

var _ port.Store = (*Store)(nil)

// NewStore returns a store whose own path is own. Topic keeps the newest record of
// each key; it is read to try the own path.
func NewStore(own port.Store, peers Peers, conns peer.Conns, topic string) *Store {
	return &Store{own: own, peers: peers, conns: conns, probeTopic: topic, table: reach.NewPaths(), doubted: make(chan struct{}, 1)}
}

// OwnPathUp reports whether the instance's own path works.
func (s *Store) OwnPathUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.OwnPathUp()
}

// Reachability returns what the instance believes of the store.
func (s *Store) Reachability() reach.Reachability {
	peers := s.peers.LivePeers()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Reachability(time.Now(), peers)
}

// CallTimeout returns how long a call takes at most while any path works.
func (s *Store) CallTimeout() time.Duration { return s.patience() + s.peerLimit() }

func (s *Store) patience() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.AttemptTimeout()
}

func (s *Store) peerLimit() time.Duration { return s.patience() + peerMargin }

// Append implements port.Store.
func (s *Store) Append(ctx context.Context, p port.Partition, records [][]byte) (int64, error) {
	return route(ctx, s, 0,
		func(ctx context.Context) (int64, error) { return s.own.Append(ctx, p, records) },
		func(ctx context.Context, c peerpb.DRPCStoreClient) (int64, error) {
			out, err := c.Append(ctx, &peerpb.StoreAppend{Partition: encodePartition(p), Records: records})
			if err != nil {
				return 0, err
			}
			return out.GetFirst(), decodeFailure(out.GetFailure())
		})
}

// Read implements port.Store.
func (s *Store) Read(ctx context.Context, p port.Partition, from int64, maxBytes int, wait time.Duration) (port.Page, error) {
	return route(ctx, s, wait,
		func(ctx context.Context) (port.Page, error) { return s.own.Read(ctx, p, from, maxBytes, wait) },
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
	return route(ctx, s, 0,
		func(ctx context.Context) (port.NewestPage, error) { return s.own.Newest(ctx, topic, after) },
		func(ctx context.Context, c peerpb.DRPCStoreClient) (port.NewestPage, error) {
			out, err := c.Newest(ctx, &peerpb.StoreNewest{Topic: topic, After: after})
			if err != nil {
				return port.NewestPage{}, err
			}
			return decodeNewest(out), decodeFailure(out.GetFailure())
		})
}

// result is the end of a call on the own path.
type result[T any] struct {
	value T
	err   error
}

// route makes a call on the own path and, when that fails or is slow, through peers.
// The store may keep the call waiting for wait. When no path answers, the error is the
// one that promises least.
func route[T any](
	ctx context.Context, s *Store, wait time.Duration,
	own func(context.Context) (T, error), through func(context.Context, peerpb.DRPCStoreClient) (T, error),
) (T, error) {
	if !s.OwnPathUp() {
		value, detoured := detour(ctx, s, wait, through)
		if answered(detoured) {
			return value, detoured
		}
		// No peer helps: the own path may work again.
		value, err := direct(ctx, s, wait, own)
		return value, unlessAnswered(err, detoured)
	}
	done := make(chan result[T], 1)
	go func() {
		value, err := direct(ctx, s, wait, own)
		done <- result[T]{value, err}
	}()
	slow := time.NewTimer(wait + s.patience())
	defer slow.Stop()
	select {
	case r := <-done:
		if answered(r.err) || ctx.Err() != nil {
			return r.value, r.err
		}
		value, detoured := detour(ctx, s, wait, through)
		return value, unlessAnswered(detoured, r.err)
	case <-slow.C:
		s.doubt()
	}
	value, detoured := detour(ctx, s, wait, through)
	if answered(detoured) {
		return value, detoured
	}
	// No peer helps: the own path may only have been slow. Its call ends with ctx or with
	// the client's own limit.
	r := <-done
	return r.value, unlessAnswered(r.err, detoured)
}

// unlessAnswered returns the last error of a call, made worse by the one of an earlier
// path unless the store answered.
func unlessAnswered(last, earlier error) error {
	if answered(last) {
		return last
	}
	return worse(last, earlier)
}

// answered reports whether the store answered, even if not with what was asked for.
func answered(err error) bool {
	var expired *port.ExpiredError
	return err == nil || errors.As(err, &expired)
}

// worse returns the error that promises less: a call that may have taken effect on one
// path may have taken effect.
func worse(a, b error) error {
	if errors.Is(a, port.ErrOutcomeUnknown) || !errors.Is(b, port.ErrOutcomeUnknown) {
		return a
	}
	return b
}

// direct makes a call on the own path and records how it ended.
func direct[T any](ctx context.Context, s *Store, wait time.Duration, own func(context.Context) (T, error)) (T, error) {
	began := time.Now()
	value, err := own(ctx)
	s.counts.Add("own", 1)
	switch {
	case answered(err):
		took := time.Since(began)
		if wait > 0 {
			took = 0 // a call that was kept waiting does not show how fast the store is
		}
		s.noteAnswered(took)
	case ctx.Err() == nil:
		s.counts.Add("own_failed", 1)
		s.doubt()
	}
	return value, err
}

func (s *Store) noteAnswered(took time.Duration) {
	s.mu.Lock()
	regained := s.table.RecordSuccess(took)
	s.mu.Unlock()
	if regained {
		klog.InfoS("dependency regained", "dependency", "store", "path", "own")
	}
}

func (s *Store) noteFailed(cause error) {
	s.mu.Lock()
	lost := s.table.RecordFailure()
	s.mu.Unlock()
	if lost {
		klog.InfoS("dependency lost", "dependency", "store", "path", "own", "cause", cause)
	}
}

// doubt asks for a look at the own path after a call that failed there: the store may
// have refused the one partition only.
func (s *Store) doubt() {
	select {
	case s.doubted <- struct{}{}:
	default:
	}
}

// errNoPeer says that there is no peer to ask.
var errNoPeer = fmt.Errorf("%w: no peer reaches the store", port.ErrUnavailable)

// detour makes a call through peers, one after the other.
func detour[T any](
	ctx context.Context, s *Store, wait time.Duration, through func(context.Context, peerpb.DRPCStoreClient) (T, error),
) (value T, err error) {
	err = errNoPeer
	for _, p := range s.choose() {
		if ctx.Err() != nil {
			break
		}
		var next error
		value, next = call(ctx, s, p, wait, through)
		s.counts.Add("through_peer", 1)
		if answered(next) {
			return value, next
		}
		klog.InfoS("call to the store through a peer failed", "peer", p.Name, "err", next)
		s.counts.Add("through_peer_failed", 1)
		if pathFailed(next) {
			s.mu.Lock()
			s.table.RecordPeerFailure(time.Now(), p.Name)
			s.mu.Unlock()
		}
		if !errors.Is(next, port.ErrUnavailable) {
			next = fmt.Errorf("%w: %w", port.ErrOutcomeUnknown, next)
		}
		err = worse(next, err)
	}
	return value, err
}

// pathFailed reports whether a peer could not help, rather than the store through it.
func pathFailed(err error) bool {
	said := errors.Is(err, port.ErrUnavailable) || errors.Is(err, port.ErrOutcomeUnknown)
	return !said || errors.Is(err, errNoPath)
}

// choose returns the peers to ask for one call.
func (s *Store) choose() []reach.Peer {
	peers := s.peers.LivePeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.table.RankPeers(time.Now(), peers)
	return list[:min(peersMost, len(list))]
}

// call makes a call through one peer.
func call[T any](
	ctx context.Context, s *Store, p reach.Peer, wait time.Duration, through func(context.Context, peerpb.DRPCStoreClient) (T, error),
) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.peerLimit())
	defer cancel()
	conn := s.conns.Conn(ctx, p.Address)
	defer conn.Close() // returns the connection to its pool
	return through(ctx, peerpb.NewDRPCStoreClient(conn))
}

// RunProbes tries the own path after a call failed there, and until it works again. It
// returns when ctx ends.
func (s *Store) RunProbes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.doubted:
		}
		for s.probe(ctx); ctx.Err() == nil && !s.OwnPathUp(); s.probe(ctx) {
			clock.Sleep(ctx, probeInterval)
		}
	}
}

// probe reads an empty page on the own path.
func (s *Store) probe(ctx context.Context) {
	probe, cancel := context.WithTimeout(ctx, s.patience())
	defer cancel()
	began := time.Now()
	_, err := s.own.Newest(probe, s.probeTopic, lastKey)
	switch {
	case err == nil:
		s.noteAnswered(time.Since(began))
	case ctx.Err() == nil:
		s.noteFailed(err)
	}
}

// lastKey is behind every key of an instance, so that a probe returns an empty page.
const lastKey = "~"
