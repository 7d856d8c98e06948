// Package serve composes the duties of an instance on the users' platform: it
// follows the configuration and the servers, forwards callers' requests, keeps and
// runs batch jobs, and drains.
package serve

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"
	"storj.io/drpc/drpcmux"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/gateway"
	"github.com/jacinthnotch/jacinthnotch/node/jobs"
	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/node/peers"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/relay"
	"github.com/jacinthnotch/jacinthnotch/policy/reach"
)

const (
	// memoryShare of the host's memory is the soft limit of the Go heap; the rest
	// is for stacks, sockets and the program itself.
	memoryShare = 0.6
	// cacheShare of the memory may be held by blobs of jobs.
	cacheShare = 0.08
	// sweepInterval is the time between looks for what has expired.
	sweepInterval = 500 * time.Millisecond
	// announceInterval is the time between listings of the instances.
	announceInterval = 5 * time.Second
	// headerTimeout and idleTimeout bound a caller's connection. The idle time is
	// above the operators' usual limit, so that a caller closes first.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeader bounds the headers of a caller, in bytes.
	maxHeader = 64 << 10
	// balancerLag is the time for which the balancer still sends new connections
	// after readiness has ended: it asks once a second and takes an instance out after
	// two misses.
	balancerLag = 2500 * time.Millisecond
	// exitMargin is kept from the grace for the end of the process.
	exitMargin = 400 * time.Millisecond
	// handoverLimit bounds the handing over of batch items in a drain.
	handoverLimit = 2500 * time.Millisecond
)

// Protocol is what the adapter to the platform translates.
type Protocol interface {
	gateway.Protocol
	jobs.Codec
}

// Platform is the adapter to the platform.
type Platform struct {
	Protocol Protocol
	// ReadinessPath is the path at which the balancer asks.
	ReadinessPath string
	// Store makes calls on the instance's own path.
	Store port.Store
	// InstancesTopic is the topic in which the instances announce themselves. Feeds
	// returns the feeds that are read from a store.
	InstancesTopic string
	NewFeeds       func(port.Store) Feeds
}

// Feeds are the topics that an instance follows.
type Feeds struct {
	Config    port.Feed[serving.Revision]
	Servers   port.Feed[serving.Server]
	Instances port.Feed[peers.Instance]
}

// Instance is one running instance.
type Instance struct {
	settings    *Settings
	platform    Platform
	feeds       Feeds
	incarnation uint32
	store       *relay.Store
	conns       *peer.Pool
	view        *fleet.View
	pool        *exchange.Pool
	group       *peers.Group
	index       *jobs.Index
	runner      *jobs.Runner
	gateway     *gateway.Gateway
	jobMetrics  *jobs.Metrics
	callers     *http.Server
	readiness   *http.Server
	leaving     atomic.Bool
}

// New prepares an instance.
func New(s *Settings, p Platform) (*Instance, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB<<20)))
	i := &Instance{
		settings: s, platform: p, incarnation: rand.Uint32(),
		view: fleet.NewView(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		pool: exchange.NewPool(exchange.Options{}), conns: peer.NewPool(nil), jobMetrics: &jobs.Metrics{},
	}
	i.store = relay.NewStore(p.Store, lateGroup{i}, i.conns, p.InstancesTopic)
	i.feeds, i.index = p.NewFeeds(i.store), jobs.NewIndex(i.store)
	bulk := jobs.NewBulk(i.store, jobs.Limits{
		RecordBytes: s.Store.RecordBytes, CallBytes: s.Store.CallBytes, Partitions: s.Store.Partitions,
		CacheBytes: int(cacheShare * float64(s.Limits.MemoryMB<<20)),
	})
	group, err := peers.NewGroup(peers.Options{
		Name: s.Instance, DataCentre: s.DataCentre, Cores: s.Limits.Cores, Incarnation: i.incarnation,
		Listen: s.Listen.PeerAddress(),
		View:   i.view, Feed: i.feeds.Instances, Reaches: i.store.Reaches, OnYield: func(server string) bool { return i.runner.Yield(server) },
	})
	if err != nil {
		return nil, fmt.Errorf("serve: socket for datagrams: %w", err)
	}
	i.group = group
	self := joblog.Holder{Instance: s.Instance, Incarnation: i.incarnation}
	i.runner = &jobs.Runner{
		Index: i.index, Bulk: bulk, View: i.view, Pool: i.pool, Protocol: p.Protocol, Codec: p.Protocol,
		Members: group, Placer: group, Metrics: i.jobMetrics, Self: self,
	}
	i.runner.Start()
	i.gateway = &gateway.Gateway{View: i.view, Pool: i.pool, Protocol: p.Protocol, Placer: group, Contain: group, Metrics: gateway.NewMetrics()}
	i.gateway.Jobs = &jobs.Service{
		Index: i.index, Bulk: bulk, Runner: i.runner, Codec: p.Protocol, Revision: i.view.Revision, Path: i.store,
		Refuse: i.refuse, Self: self,
	}
	i.callers = &http.Server{
		Handler: i.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
	i.readiness = &http.Server{Handler: i.operators(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return i, nil
}

// lateGroup is the instance's group, which is made after the store that asks it.
type lateGroup struct{ *Instance }

// Reaching implements relay.Peers.
func (l lateGroup) Reaching() []reach.Peer { return l.group.Reaching() }

func (i *Instance) refuse(w http.ResponseWriter, status int, retryAfter time.Duration, cause string) {
	i.platform.Protocol.Refusal(w.Header(), retryAfter)
	http.Error(w, cause, status)
}

// operators returns the handler of the readiness address: readiness, liveness and
// the metrics.
func (i *Instance) operators() http.Handler {
	all := new(expvar.Map).Init()
	all.Set("gateway", i.gateway.Metrics.Map())
	all.Set("jobs", i.jobMetrics.Map())
	all.Set("store_calls", i.store.Map())
	all.Set("connections_opened", expvar.Func(func() any { return i.pool.Opened() }))
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+i.platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !i.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A reader that has left needs no answer.
		_, _ = w.Write([]byte(all.String()))
	})
	return mux
}

// Ready reports whether the instance takes new connections.
func (i *Instance) Ready() bool { return !i.leaving.Load() && i.view.Ready() }

// Run serves until ctx ends, and then drains.
func (i *Instance) Run(ctx context.Context) error {
	klog.InfoS("start", "instance", i.settings.Instance, "dataCentre", i.settings.DataCentre, "incarnation", i.incarnation)
	config := net.ListenConfig{KeepAliveConfig: exchange.KeepAlive, Control: exchange.SetUserTimeout}
	callers, err := config.Listen(ctx, "tcp4", i.settings.Listen.Callers)
	if err != nil {
		return fmt.Errorf("serve: callers' address: %w", err)
	}
	readiness, err := config.Listen(ctx, "tcp4", i.settings.Listen.Readiness)
	if err != nil {
		return fmt.Errorf("serve: readiness address: %w", err)
	}
	between, err := config.Listen(ctx, "tcp4", i.settings.Listen.PeerAddress())
	if err != nil {
		return fmt.Errorf("serve: address for other instances: %w", err)
	}
	mux := drpcmux.New()
	if err := i.store.Register(mux); err != nil {
		return fmt.Errorf("serve: calls of other instances: %w", err)
	}
	// The duties outlive ctx: a drain needs them.
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	var running conc.WaitGroup
	// A duty that panics ends the process, which is then started again; without it
	// the instance would go on half dead.
	failed := make(chan error, len(i.duties())+3)
	for _, duty := range i.duties() {
		running.Go(func() {
			defer func() {
				if cause := recover(); cause != nil {
					failed <- fmt.Errorf("serve: a duty panicked: %v\n%s", cause, debug.Stack())
				}
			}()
			duty(duties)
		})
	}
	running.Go(func() { failed <- i.callers.Serve(callers) })
	running.Go(func() { failed <- i.readiness.Serve(readiness) })
	running.Go(func() {
		if err := peer.NewServer(between, mux, nil).Serve(duties); err != nil && duties.Err() == nil {
			failed <- fmt.Errorf("serve: calls of other instances: %w", err)
		}
	})
	select {
	case <-ctx.Done():
		i.drain()
		err = nil
	case err = <-failed:
	}
	stop()
	_ = i.callers.Close()   // all requests have ended, or the grace has
	_ = i.readiness.Close() // nothing depends on an answer any more
	i.pool.Close()
	if err := i.conns.Close(); err != nil {
		klog.InfoS("connections to other instances not closed", "err", err)
	}
	running.Wait()
	klog.InfoS("stop", "instance", i.settings.Instance, "err", err)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// duties returns the instance's loops, one goroutine each.
func (i *Instance) duties() []func(context.Context) {
	config := &fleet.Follower[serving.Revision]{Name: "configuration", Feed: i.feeds.Config, Apply: i.view.ApplyConfig, Confirmed: i.view.ConfigConfirmed}
	servers := &fleet.Follower[serving.Server]{Name: "servers", Feed: i.feeds.Servers, Apply: i.view.ApplyServers, Confirmed: i.view.ServersConfirmed}
	return []func(context.Context){
		config.Run, servers.Run, i.group.Run, i.group.State, i.index.Follow, i.index.Commit, i.runner.Run, i.sweep, i.store.Watch,
		func(ctx context.Context) { i.group.Announce(ctx, announceInterval) },
	}
}

func (i *Instance) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			i.view.Expire()
			i.pool.CloseExpired()
		}
	}
}

// drain ends readiness, hands batch items over, and waits for the requests in
// flight within the grace.
func (i *Instance) drain() {
	began := time.Now()
	klog.InfoS("drain begins", "instance", i.settings.Instance)
	i.leaving.Store(true)
	i.callers.SetKeepAlivesEnabled(false)
	i.group.Leave()
	handover, cancel := context.WithTimeout(context.Background(), handoverLimit)
	i.runner.Drain(handover)
	cancel()
	time.Sleep(time.Until(began.Add(balancerLag)))
	rest, cancel := context.WithDeadline(context.Background(), began.Add(i.settings.GracePeriod()-exitMargin))
	defer cancel()
	if err := i.callers.Shutdown(rest); err != nil {
		klog.InfoS("drain cut off requests", "err", err)
	}
	klog.InfoS("drain ends", "instance", i.settings.Instance, "took", time.Since(began))
}
