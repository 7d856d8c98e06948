// Package serve runs an instance on the users' platform. It watches the configuration and
// the registered servers, forwards callers' requests, stores and runs batch jobs, and
// drains on shutdown.
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
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/edge"
	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/gateway"
	"github.com/jacinthnotch/jacinthnotch/node/internal/budget"
	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/node/internal/guard"
	"github.com/jacinthnotch/jacinthnotch/node/jobs"
	"github.com/jacinthnotch/jacinthnotch/node/origins"
	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/node/peers"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/relay"
	"github.com/jacinthnotch/jacinthnotch/policy/pathselect"
)

const (
	// goMemoryShare is the share of the host's memory that is set as the Go memory limit.
	// The rest is left for socket buffers, the program text and other memory that the Go
	// runtime does not count.
	goMemoryShare = 0.6
	// blobCacheMemoryShare is the share of the host's memory for the cache of job blobs.
	blobCacheMemoryShare = 0.08
	// contentCacheMemoryShare is the share of the host's memory for the decoded items of jobs.
	contentCacheMemoryShare = 0.06
	// outputMemoryShare is the share of the host's memory for the outputs of unfinished items.
	outputMemoryShare = 0.06
	// responseMemoryShare is the share of the host's memory for the responses that are received
	// in full before they are forwarded. Each may take responseBufferBytes in any case.
	responseMemoryShare = 0.06
	responseBufferBytes = 64 << 10
	// expiryInterval is the interval at which expired servers and connections are removed.
	expiryInterval = 500 * time.Millisecond
	// announceWait is how long the store may delay a read of the instances' entries until
	// there are changes.
	announceWait = 5 * time.Second
	// loadBalancerDelay is how long the load balancer may still send new connections after the
	// instance has become unready: it checks readiness once a second and removes an
	// instance after two failed checks.
	loadBalancerDelay = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit of the
	// process.
	exitMargin = 400 * time.Millisecond
	// maxTaskDelay is the time after which tasks start even if the instance is not ready.
	maxTaskDelay = time.Second
	// minTaskRestartDelay and maxTaskRestartDelay bound the delay before a background task
	// that panicked is started again.
	minTaskRestartDelay = 100 * time.Millisecond
	maxTaskRestartDelay = 5 * time.Second
	// handoverTimeout limits the handover of batch items to other instances in a drain.
	handoverTimeout = 2500 * time.Millisecond
)

// Protocol translates between the platform's formats and the types of this repository.
type Protocol interface {
	gateway.Protocol
	jobs.Codec
}

// Platform is the adapter to the platform.
type Platform struct {
	Protocol Protocol
	// ReadinessPath is the path of the load balancer's readiness check.
	ReadinessPath string
	// Store calls the store directly, not through another instance.
	Store port.Store
	// DialServer opens a direct connection to a server; nil means exchange.Dial.
	DialServer func(ctx context.Context, network, address string) (net.Conn, error)
	// InstancesTopic is the topic in which instances publish their own entries. NewFeeds
	// returns the feeds of a store.
	InstancesTopic string
	NewFeeds       func(port.Store) Feeds
}

// Feeds are the keyed topics that an instance watches.
type Feeds struct {
	Config    port.Feed[serving.Revision]
	Servers   port.Feed[serving.Server]
	Instances port.Feed[peers.Instance]
}

// Instance is one instance.
type Instance struct {
	settings    *Settings
	platform    Platform
	feeds       Feeds
	incarnation uint32
	store       *relay.Store
	peerConns   *peer.Pool
	view        *fleet.View
	servers     *fleet.Follower[serving.Server]
	origins     *origins.Index
	pool        *exchange.Pool
	links       *links
	group       *peers.Group
	index       *jobs.Index
	runner      *jobs.Runner
	gateway     *gateway.Gateway
	jobMetrics  *jobs.Metrics
	callers     *callerServer
	readiness   *http.Server
	accounts    accounts
	leaving     atomic.Bool
}

// New returns an instance that is ready to Run.
func New(s *Settings, p Platform) (*Instance, error) {
	debug.SetMemoryLimit(int64(goMemoryShare * float64(s.Limits.MemoryMB<<20)))
	i := &Instance{
		settings: s, platform: p, incarnation: rand.Uint32(),
		view:      fleet.NewView(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		peerConns: peer.NewPool(nil), jobMetrics: &jobs.Metrics{},
	}
	i.links = newLinks(i, p.DialServer)
	i.pool = exchange.NewPool(i.links.poolOptions())
	i.view.SetHeartbeat(s.Heartbeat())
	i.store = relay.NewStore(p.Store, peersOf{i}, i.peerConns, p.InstancesTopic)
	i.feeds, i.index = p.NewFeeds(i.store), jobs.NewIndex(i.store)
	blobStore := jobs.NewBlobStore(i.store, jobs.BlobStoreOptions{
		RecordBytes: s.Store.RecordBytes, CallBytes: s.Store.CallBytes, Partitions: s.Store.Partitions,
		CacheBytes:  int(blobCacheMemoryShare * float64(s.Limits.MemoryMB<<20)),
		IsStoreAway: func() bool { return i.store.Reachability() == pathselect.Unreachable },
	})
	i.origins = origins.NewIndex()
	group, err := peers.NewGroup(peers.Options{
		Name: s.Instance, DataCentre: s.DataCentre, Cores: s.Limits.Cores, Incarnation: i.incarnation,
		Listen: s.Listen.PeerAddress(),
		View:   i.view, Feed: i.feeds.Instances, ReachesStore: i.store.OwnPathUp, StoreUpFor: i.store.UpFor, OnPreempt: func(server string) bool { return i.runner.PreemptItem(server) },
		Origins: i.origins,
	})
	if err != nil {
		return nil, fmt.Errorf("serve: open datagram socket: %w", err)
	}
	i.group = group
	// A read that is made again does not fail, though there was an outage.
	i.store.OnRegained = func() { i.view.RecordServersRead(false) }
	i.servers = &fleet.Follower[serving.Server]{Name: "servers", Feed: i.feeds.Servers, Apply: i.view.ApplyServers, OnRead: i.view.RecordServersRead}
	i.origins.Store, i.origins.View, i.origins.Hubs, i.origins.RefreshServers = i.store, i.view, group, i.servers.Refresh
	self := joblog.Holder{Instance: s.Instance, Incarnation: i.incarnation}
	i.runner = &jobs.Runner{
		Index: i.index, Blobs: blobStore, View: i.view, Pool: i.pool, Protocol: p.Protocol, Codec: p.Protocol,
		Members: group, Placer: group, Metrics: i.jobMetrics, Answers: group, Origins: i.origins, Self: self,
		ContentCacheBytes: int(contentCacheMemoryShare * float64(s.Limits.MemoryMB<<20)),
		OutputBudget:      int(outputMemoryShare * float64(s.Limits.MemoryMB<<20)),
	}
	i.runner.Init()
	i.gateway = &gateway.Gateway{View: i.view, Pool: i.pool, Protocol: p.Protocol, Placer: group, Quotas: group, Containment: group, Origins: i.origins, Metrics: gateway.NewMetrics(), Drain: gateway.NewDrain()}
	i.gateway.Buffers = budget.New(int(responseMemoryShare*float64(s.Limits.MemoryMB<<20)), responseBufferBytes)
	i.gateway.Jobs = &jobs.Service{
		Index: i.index, Blobs: blobStore, Runner: i.runner, Codec: p.Protocol, Revision: i.view.Revision, StorePath: i.store,
		Refuse: i.refuse, Closed: i.gateway.Drain.Closed, Self: self,
	}
	i.callers = newCallerServer(i.gateway, gateway.WithConn)
	i.accounts = newAccounts(s.Limits)
	i.callers.limit(i.accounts.callers, i.callerLimits)
	i.readiness = &http.Server{
		Handler: i.readinessHandler(), ConnState: edge.RecordState, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: headerTimeout,
	}
	return i, nil
}

// peersOf looks up the instance's group when it is used, because the group is created
// after the store that depends on it.
type peersOf struct{ *Instance }

// LivePeers implements relay.Peers.
func (p peersOf) LivePeers() []pathselect.Peer { return p.group.LivePeers() }

func (i *Instance) refuse(w http.ResponseWriter, status int, retryAfter time.Duration, cause string) {
	i.platform.Protocol.SetRetryAfter(w.Header(), retryAfter)
	http.Error(w, cause, status)
}

// readinessHandler returns the handler of the readiness address: the readiness check and the
// metrics.
func (i *Instance) readinessHandler() http.Handler {
	metrics := new(expvar.Map).Init()
	metrics.Set("gateway", i.gateway.Metrics.Map())
	metrics.Set("pace", i.view.PaceMetrics())
	metrics.Set("reserve", i.view.ReserveMetrics())
	metrics.Set("grants", i.view.GrantMetrics())
	metrics.Set("containment", i.group.ContainmentMetrics())
	metrics.Set("workspace_quotas", i.group.QuotaMetrics())
	metrics.Set("shares", i.group.ShareMetrics())
	metrics.Set("store_outages", i.group.OutageMetrics())
	metrics.Set("jobs", i.jobMetrics.Map())
	metrics.Set("prompts", expvar.Func(func() any { return i.view.PromptStats() }))
	metrics.Set("waiting_tokens", i.index.WaitingMetrics())
	metrics.Set("store_calls", i.store.Map())
	metrics.Set("server_faults", i.pool.Faults())
	metrics.Set("server_links", i.links.dialer.Metrics())
	metrics.Set("panics", guard.Metrics())
	metrics.Set("edge_callers", i.accounts.callers.Metrics())
	metrics.Set("edge_instances", i.accounts.peers.Metrics())
	metrics.Set("edge_readiness", i.accounts.readiness.Metrics())
	metrics.Set("connections_opened", expvar.Func(func() any { return i.pool.Opened() }))
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+i.platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !i.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has disconnected.
		_, _ = w.Write([]byte(metrics.String()))
	})
	return mux
}

// Ready reports whether the instance accepts new connections.
func (i *Instance) Ready() bool { return !i.leaving.Load() && i.view.Ready() }

// Run serves until ctx is done and then drains.
func (i *Instance) Run(ctx context.Context) error {
	klog.InfoS("start", "instance", i.settings.Instance, "dataCentre", i.settings.DataCentre, "incarnation", i.incarnation)
	callerConfig := net.ListenConfig{KeepAliveConfig: exchange.KeepAlive, Control: exchange.SetUserTimeout}
	callers, err := callerConfig.Listen(ctx, "tcp4", i.settings.Listen.Callers)
	if err != nil {
		return fmt.Errorf("serve: listen for callers: %w", err)
	}
	config := net.ListenConfig{KeepAliveConfig: exchange.KeepAlive, Control: exchange.SetControlUserTimeout}
	readiness, err := config.Listen(ctx, "tcp4", i.settings.Listen.Readiness)
	if err != nil {
		return fmt.Errorf("serve: listen for readiness checks: %w", err)
	}
	peerListener, err := config.Listen(ctx, "tcp4", i.settings.Listen.PeerAddress())
	if err != nil {
		return fmt.Errorf("serve: listen for other instances: %w", err)
	}
	mux := drpcmux.New()
	if err := i.store.Register(mux); err != nil {
		return fmt.Errorf("serve: calls of other instances: %w", err)
	}
	// The background tasks outlive ctx because draining depends on them.
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	var running conc.WaitGroup
	failures := make(chan error, 3)
	for _, task := range i.tasks() {
		running.Go(func() { runTask(taskCtx, task) })
	}
	running.Go(func() { failures <- i.callers.Serve(callers.(*net.TCPListener)) })
	running.Go(func() {
		failures <- i.readiness.Serve(edge.NewListener(readiness.(*net.TCPListener), i.accounts.readiness, true, readinessLimits))
	})
	running.Go(func() {
		limited := edge.NewListener(peerListener.(*net.TCPListener), i.accounts.peers, false, noLimits)
		if err := peer.NewServer(limited, guardedHandler{mux}, nil).Serve(taskCtx); err != nil && taskCtx.Err() == nil {
			failures <- fmt.Errorf("serve: calls of other instances: %w", err)
		}
	})
	i.links.serve(taskCtx, &running)
	select {
	case <-ctx.Done():
		i.drain()
		err = nil
	case err = <-failures:
	}
	stopTasks()
	i.links.server.Close()
	i.callers.Close()       // all requests are done or the grace period is over
	_ = i.readiness.Close() // no response is needed any more
	i.pool.Close()
	if err := i.peerConns.Close(); err != nil {
		klog.InfoS("closing connections to other instances failed", "err", err)
	}
	running.Wait()
	klog.InfoS("stop", "instance", i.settings.Instance, "err", err)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// backgroundTask is a task of an instance that runs until its context is done.
type backgroundTask struct {
	name string
	run  func(context.Context)
}

// tasks returns the background tasks of the instance; each runs in its own goroutine.
func (i *Instance) tasks() []backgroundTask {
	config := &fleet.Follower[serving.Revision]{Name: "configuration", Feed: i.feeds.Config, Apply: i.view.ApplyConfig, OnRead: i.view.RecordConfigRead, NewestOnly: true}
	return []backgroundTask{
		{"configuration", config.Run}, {"servers", i.servers.Run}, {"datagrams", i.group.Receive}, {"reports", i.group.SendReports}, {"outages", i.group.CheckOutages},
		{"job index", i.afterReady(i.index.Follow)}, {"job index appends", i.index.RunAppends}, {"items", i.runner.Run}, {"expiry", i.expireLoop}, {"origins", i.origins.Run},
		{"store probes", i.store.RunProbes}, {"server probes", i.links.dialer.RunProbes}, {"instances", func(ctx context.Context) { i.group.Announce(ctx, announceWait) }},
	}
}

// afterReady delays a task until the instance is ready, at most for maxTaskDelay. An instance
// that has just started serves online requests earlier if it does not read the records of
// all jobs at the same time: on a small host that takes most of a second.
func (i *Instance) afterReady(task func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		timer := time.NewTimer(maxTaskDelay)
		defer timer.Stop()
		select {
		case <-i.view.ReadyNotify():
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		task(ctx)
	}
}

// runTask runs a task until ctx is done. A task that panics is started again after a delay,
// and the others go on.
func runTask(ctx context.Context, task backgroundTask) {
	for delay := minTaskRestartDelay; ctx.Err() == nil; delay = min(2*delay, maxTaskRestartDelay) {
		if guard.Run(task.name, func() { task.run(ctx) }) {
			return
		}
		clock.Sleep(ctx, delay)
	}
}

// errInternal is the error of a call of another instance that panicked.
var errInternal = errors.New("serve: internal error")

// guardedHandler keeps a panic in a call of another instance from ending the process.
type guardedHandler struct{ drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h guardedHandler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	if !guard.Run("call of an instance", func() { err = h.Handler.HandleRPC(stream, rpc) }) {
		return errInternal
	}
	return err
}

func (i *Instance) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
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

// drain makes the instance unready, hands batch items over to other instances and waits
// until the requests in flight are done, at most for the grace period.
func (i *Instance) drain() {
	start := time.Now()
	klog.InfoS("drain begins", "instance", i.settings.Instance)
	end := start.Add(i.settings.GracePeriod() - exitMargin)
	i.leaving.Store(true)
	i.gateway.Drain.Begin(end)
	i.links.server.Drain()
	i.callers.Leave()
	i.group.Leave()
	handoverCtx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	i.runner.Drain(handoverCtx)
	cancel()
	time.Sleep(time.Until(start.Add(loadBalancerDelay)))
	i.callers.CloseListener()
	i.gateway.Drain.Close()
	shutdownCtx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := i.callers.Drain(shutdownCtx); err != nil {
		klog.InfoS("drain interrupted requests in flight", "err", err)
	}
	if err := i.links.server.Wait(shutdownCtx); err != nil {
		klog.InfoS("drain interrupted tunnels of other instances", "open", i.links.server.Open())
	}
	klog.InfoS("drain ends", "instance", i.settings.Instance, "took", time.Since(start))
}
